package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/briarlink/briarlink/platform"
	"github.com/briarlink/briarlink/test/standin/store"
)

// operator writes configurations and wanted weights to the store.
type operator struct {
	store *store.Store

	mu      sync.Mutex
	version int64
	weights int64
	// granted maps the spare keys that are in force, and revoked those that no longer are,
	// to the time of that change.
	granted  map[string]time.Time
	revoked  map[string]time.Time
	keyCount int
	// isolation has the isolated organisations of each configuration.
	isolation []isolationChange
	// edit changes a configuration before it is written; it may be nil.
	edit func(version int64, config object)
}

// mainKeys maps the API keys that are always in force to their organisations.
var mainKeys = map[string]string{"key-of-museum-a": "museum-a", "key-of-museum-b": "museum-b", limitedKey: limitedOrganisation}

// The organisation with a rate limit. Callers send about four times the limit.
const (
	limitedKey          = "key-of-museum-d"
	limitedOrganisation = "museum-d"
	limitPerSecond      = 3
	limitBurst          = 6
)

// spareOrganisation has the spare keys, which are granted and revoked during a run.
const spareOrganisation = "museum-c"

func newOperator(s *store.Store) *operator {
	o := &operator{store: s, weights: 1, granted: map[string]time.Time{}, revoked: map[string]time.Time{}}
	o.grant()
	return o
}

// grant adds a spare key.
func (o *operator) grant() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keyCount++
	o.granted[fmt.Sprintf("spare-key-%d", o.keyCount)] = time.Now()
	o.write()
}

// revoke revokes every spare key.
func (o *operator) revoke() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.granted {
		o.revoked[key] = time.Now()
		delete(o.granted, key)
	}
	o.write()
}

// spareKeys returns the spare keys, each with the time when it was granted or revoked.
func (o *operator) spareKeys() (granted, revoked map[string]time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	granted, revoked = map[string]time.Time{}, map[string]time.Time{}
	for key, at := range o.granted {
		granted[key] = at
	}
	for key, at := range o.revoked {
		revoked[key] = at
	}
	return granted, revoked
}

// bumpWeights writes the next version of the wanted weights.
func (o *operator) bumpWeights() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	o.store.Put(platform.OperatorTopic, "version/"+model, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, model, o.weights))
}

func (o *operator) wantedWeights() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.weights
}

// object is a JSON object in an operators' record.
type object map[string]any

// write writes a new configuration. The caller holds o.mu.
func (o *operator) write() {
	o.version += 2
	spare := make([]string, 0, len(o.granted))
	for key := range o.granted {
		spare = append(spare, key)
	}
	organisations := []object{{"Name": spareOrganisation, "ApiKeys": spare}}
	change := isolationChange{at: time.Now(), isolated: map[string]bool{}}
	for key, name := range mainKeys {
		organisation := object{"Name": name, "ApiKeys": []string{key}, "Isolated": isolatedIn(o.version, name)}
		change.isolated[name] = isolatedIn(o.version, name)
		if name == limitedOrganisation {
			organisation["RatePerS"], organisation["Burst"] = limitPerSecond, limitBurst
		}
		organisations = append(organisations, organisation)
	}
	routes := []object{}
	for _, k := range kinds {
		routes = append(routes, k.route())
	}
	config := object{
		"Version": o.version, "Routes": routes, "Tenants": organisations,
		"Services": []object{
			{"Name": "writer", "MaxConns": 200, "Engine": object{"Slots": 8, "KvCapacity": 100000, "KvTokenBytes": 163840, "LinkMbps": 500000, "MaxInflight": 12}},
			{"Name": "jobs", "MaxConns": 200},
		},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	if o.edit != nil {
		o.edit(o.version, config)
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	o.store.Put(platform.OperatorTopic, "config", data)
	o.isolation = append(o.isolation, change)
}
