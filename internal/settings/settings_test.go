package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	_ "github.com/briarlink/briarlink/test/fixedseed"
)

const required = `"host": {"id": "a", "availability_zone": "z"},
"listen": {"caller": "127.0.0.1:1", "peer": "127.0.0.1:3"},
"platform": {"address": "127.0.0.1:4"}`

func TestLeftOutSettingsKeepTheirDefaults(t *testing.T) {
	got, err := Parse([]byte(`{` + required + `, "request": {"idle_timeout": "1500ms"}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got.Request.IdleTimeout.AsDuration().Milliseconds() != 1500 {
		t.Errorf("idle_timeout is %v", got.Request.IdleTimeout)
	}
	got.Request.IdleTimeout = Defaults().Request.IdleTimeout
	if !proto.Equal(got.Request, Defaults().Request) {
		t.Errorf("got %v", got.Request)
	}
}

func TestEveryMistakeWithItsLine(t *testing.T) {
	_, err := Parse([]byte(`{
` + required + `,
"request": {"max_body_bytes": "many", "speed": 1},
"replica": {"outage_grace": 5},
"member": {"dead_after": "1 hour"}, // no such unit
"weights": {"mode": "soon", "mode": "later"},
"listen": {},
}`))
	want := []string{
		`line 5: request.max_body_bytes: want a int64 without a unit`,
		`line 5: request.speed: unknown setting`,
		`line 6: replica.outage_grace: want a duration with its unit, such as "500ms" or "2s"`,
		`line 7: member.dead_after: "1 hour" is not a duration such as "500ms" or "2s"`,
		`line 8: weights.mode: set twice`,
		`line 8: weights.mode: "soon" is not queue, retain or preempt`,
		`line 9: listen: set twice`,
	}
	if err == nil || err.Error() != strings.Join(want, "\n") {
		t.Errorf("got\n%v", err)
	}
}

// TestBadOverloadSettings guards against budgets and shares that no host can keep to.
func TestBadOverloadSettings(t *testing.T) {
	for text, want := range map[string]string{
		`{"memory_share": -0.1}`:     "overload.memory_share: must be 0 to 0.5",
		`{"memory_share": 0.2}`:      "overload.memory_share: needs host.memory_mb",
		`{"memory_share": "much"}`:   "overload.memory_share: want a double without a unit",
		`{"target_utilisation": 40}`: "overload.target_utilisation: must be 0.1 to 1",
		`{"fair_share": 1}`:          "overload.fair_share: want a bool without a unit",
		`{"fair_shares": true}`:      "overload.fair_shares: unknown setting",
	} {
		_, err := Parse([]byte("{" + required + `, "overload": ` + text + "}"))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestNamesAreNoAddresses(t *testing.T) {
	for _, address := range []string{"localhost:80", "127.0.0.1", "127.0.0.1:0", ":80"} {
		text := strings.Replace("{"+required+"}", "127.0.0.1:4", address, 1)
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), "platform.address") {
			t.Errorf("%s: %v", address, err)
		}
	}
}

func TestExampleFile(t *testing.T) {
	data, err := os.ReadFile("../../examples/entry-host.hujson")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer("@ID@", "a", "@ZONE@", "z", "@CALLER@", "1", "@OPERATOR@", "2", "@PEER@", "3",
		"@DIRECTORY@", "4", "@READY@", "5", "@METRICS@", "6").Replace(string(data))
	got, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	for _, section := range []func(*pb.Settings){
		func(s *pb.Settings) { s.Host = nil },
		func(s *pb.Settings) { s.Listen = nil },
		func(s *pb.Settings) { s.Platform.Address = "" },
	} {
		section(got)
		section(want)
	}
	if !proto.Equal(got, want) {
		t.Errorf("the example does not show the defaults:\n%v\n%v", got, want)
	}
}

// TestDamagedSettingsNeverPanic: for randomly damaged settings, Parse does not panic, and any
// error names a line.
func TestDamagedSettingsNeverPanic(t *testing.T) {
	whole := "{" + required + `, "retry": {"slack": 3}}`
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
		insert := rapid.SampledFrom([]string{"", "{", "}", "[", "1", `"x"`, ",", "null", "//"}).Draw(t, "insert")
		removed := rapid.IntRange(0, 10).Draw(t, "cut")
		text := whole[:at] + insert + whole[min(len(whole), at+removed):]
		if _, err := Parse([]byte(text)); err != nil && !strings.Contains(fmt.Sprint(err), "line") {
			t.Fatalf("%s: %v", text, err)
		}
	})
}
