package schedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarlink/briarlink/internal/config"
)

// configWith returns a configuration in which some of the organisations exist, and some of these
// are isolated.
func configWith(rt *rapid.T, names []string) *config.Config {
	c := &config.Config{}
	for _, name := range names {
		if rapid.IntRange(0, 4).Draw(rt, "exists") > 0 {
			c.Organisations = append(c.Organisations, &config.Organisation{Name: name, Isolated: rapid.Bool().Draw(rt, "isolated")})
		}
	}
	return c.Build()
}

// TestCachedBlocksAreNeverSharedAcrossIsolation guards against cached blocks that are found by another
// organisation's requests although one of the two is isolated: over any series of configurations, with
// hosts that apply them late, and with requests that were admitted under an earlier one. Organisations
// that are not isolated share.
func TestCachedBlocksAreNeverSharedAcrossIsolation(t *testing.T) {
	// The names resemble what else a salt consists of.
	names := []string{"a", "b", "w1", "without=", "organisation=a", "a/b"}
	rapid.Check(t, func(rt *rapid.T) {
		configs := []*config.Config{configWith(rt, names)}
		var hosts []*Scheduler
		inForce := map[int]int{}
		for i := range 3 {
			s, _, _ := newScheduler("i-1")
			s.Config = func() *config.Config { return configs[inForce[i]] }
			hosts = append(hosts, s)
		}
		makers := map[string]map[string]bool{}
		now := time.Now()
		rt.Repeat(map[string]func(*rapid.T){
			"configure": func(rt *rapid.T) { configs = append(configs, configWith(rt, names)) },
			"apply": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")
				inForce[i] = rapid.IntRange(inForce[i], len(configs)-1).Draw(rt, "configuration")
			},
			"request": func(rt *rapid.T) {
				i := rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")
				admittedUnder := configs[rapid.IntRange(0, inForce[i]).Draw(rt, "admitted under")]
				if len(admittedUnder.Organisations) == 0 {
					rt.Skip("no organisation")
				}
				o := rapid.SampledFrom(admittedUnder.Organisations).Draw(rt, "organisation")
				c, err := hosts[i].Pick(request(o, "p"), now)
				if err != nil {
					rt.Fatal(err)
				}
				now = now.Add(time.Second)
				hosts[i].PrefillDone(c, now)
				current := configs[inForce[i]]
				for maker := range makers[c.Salt] {
					if maker != o.Name && (current.IsIsolated(maker) || current.IsIsolated(o.Name)) {
						rt.Fatalf("a request of %q finds what %q made under %q", o.Name, maker, c.Salt)
					}
				}
				if makers[c.Salt] == nil {
					makers[c.Salt] = map[string]bool{}
				}
				makers[c.Salt][o.Name] = true
			},
			"": func(rt *rapid.T) {
				for i, s := range hosts {
					shared := map[string]bool{}
					for _, o := range configs[inForce[i]].Organisations {
						if !o.Isolated {
							shared[s.Salt(testModel, 1, o)] = true
						}
					}
					if len(shared) > 1 {
						rt.Fatalf("organisations that are not isolated have %d scopes", len(shared))
					}
				}
			},
		})
	})
}

// TestIsolationPrefillsSharedPromptsOnce guards the price of isolation: a configuration that isolates
// nobody else leaves the cached prompts in use, one that does has each prefilled once.
func TestIsolationPrefillsSharedPromptsOnce(t *testing.T) {
	s, _, _ := newScheduler("i-1")
	current := (&config.Config{Version: 1, Organisations: []*config.Organisation{open, {Name: "other"}}}).Build()
	s.Config = func() *config.Config { return current }
	now := time.Now()
	ask := func() (prefilled int) {
		for i := range 8 {
			req := request(open, fmt.Sprint("p", i%4))
			c := pick(t, s, req, now)
			prefilled += req.PromptTokens - c.Cached
			now = now.Add(time.Second / 10)
			s.PrefillDone(c, now)
		}
		return prefilled
	}
	const sharedTokens, ownTokens = 4 * 13_000, 8 * 4_000
	if n := ask(); n != sharedTokens+ownTokens {
		t.Errorf("%d tokens are prefilled at first, want %d", n, sharedTokens+ownTokens)
	}
	current = (&config.Config{Version: 2, Routes: []*config.Route{{Host: "h", Prefix: "/"}}, Organisations: []*config.Organisation{{Name: "other", Keys: []string{"k"}}, open, {Name: "new"}}}).Build()
	if n := ask(); n != ownTokens {
		t.Errorf("%d tokens are prefilled after a change without isolation, want %d", n, ownTokens)
	}
	current = (&config.Config{Version: 3, Organisations: []*config.Organisation{{Name: "other", Isolated: true}, open}}).Build()
	if n := ask(); n != sharedTokens+ownTokens {
		t.Errorf("%d tokens are prefilled after an organisation became isolated, want %d", n, sharedTokens+ownTokens)
	}
	if n := ask(); n != ownTokens {
		t.Errorf("%d tokens are prefilled later, want %d", n, ownTokens)
	}
}

// TestSaltsAreUnambiguous guards against two scopes with the same salt because a name or a model
// resembles what follows it.
func TestSaltsAreUnambiguous(t *testing.T) {
	s, _, _ := newScheduler()
	texts := []string{"a", "w1", "a/w1", "a/w1/w1", "without=a", "organisation=a", "a/w1/organisation=a", "w1/organisation=a", "a/w1/without=a"}
	seen := map[string]string{}
	add := func(salt, of string) {
		if other, taken := seen[salt]; taken {
			t.Errorf("%s and %s have the salt %q", other, of, salt)
		}
		seen[salt] = of
	}
	for _, model := range texts {
		for version := range int64(2) {
			for _, text := range texts {
				add(s.Salt(model, version, &config.Organisation{Name: text, Isolated: true}), fmt.Sprintf("model %s, version %d, organisation %s", model, version, text))
				add(scope{shared: fmt.Sprintf("%x", text)}.salt(model, version), fmt.Sprintf("model %s, version %d, without %s", model, version, text))
			}
			add(scope{}.salt(model, version), fmt.Sprintf("model %s, version %d", model, version))
		}
	}
}
