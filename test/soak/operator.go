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
	// granted holds the spare keys that are in force, and since when; revoked those
	// that were taken away.
	granted map[string]time.Time
	revoked map[string]time.Time
	keys    int
}

// mainKeys are in force all the time.
var mainKeys = map[string]string{"key-of-museum-a": "museum-a", "key-of-museum-b": "museum-b", limitedKey: limitedOrganisation}

// The organisation with a rate limit, of which callers ask for some four times as much.
const (
	limitedKey          = "key-of-museum-d"
	limitedOrganisation = "museum-d"
	limitPerSecond      = 3
	limitBurst          = 6
)

// spareOrganisation holds the keys that come and go.
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
	o.keys++
	o.granted[fmt.Sprintf("spare-key-%d", o.keys)] = time.Now()
	o.write()
}

// revoke takes every spare key away.
func (o *operator) revoke() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key := range o.granted {
		o.revoked[key] = time.Now()
		delete(o.granted, key)
	}
	o.write()
}

// spare returns the spare keys and when each got its present state.
func (o *operator) spare() (granted, revoked map[string]time.Time) {
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

// bump names new weights.
func (o *operator) bump() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	o.store.Put(platform.OperatorTopic, "version/"+model, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, model, o.weights))
}

func (o *operator) wanted() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.weights
}

// object is a JSON object of the operators' records.
type object map[string]any

func (o *operator) write() {
	o.version += 2
	spare := make([]string, 0, len(o.granted))
	for key := range o.granted {
		spare = append(spare, key)
	}
	organisations := []object{{"Name": spareOrganisation, "ApiKeys": spare}}
	for key, name := range mainKeys {
		organisation := object{"Name": name, "ApiKeys": []string{key}, "Isolated": name == "museum-b"}
		if name == limitedOrganisation {
			organisation["RatePerS"], organisation["Burst"] = limitPerSecond, limitBurst
		}
		organisations = append(organisations, organisation)
	}
	routes := []object{}
	for _, k := range kinds {
		routes = append(routes, k.route())
	}
	data, err := json.Marshal(object{
		"Version": o.version, "Routes": routes, "Tenants": organisations,
		"Services": []object{
			{"Name": "writer", "MaxConns": 200, "Engine": object{"Slots": 8, "KvCapacity": 100000, "KvTokenBytes": 163840, "LinkMbps": 500000, "MaxInflight": 12}},
			{"Name": "jobs", "MaxConns": 200},
		},
		"Limits": object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	o.store.Put(platform.OperatorTopic, "config", data)
}
