package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// TestHelp compares the help of every command with golden files; -update rewrites them.
func TestHelp(t *testing.T) {
	for _, command := range []string{"", "serve", "settings check", "admin", "admin status", "admin hosts", "admin replicas", "admin quotas", "admin weights", "explain", "logs check", "logs report", "completion", "version"} {
		var out bytes.Buffer
		parser, err := newParser(kong.Writers(&out, &out), kong.Exit(func(int) { panic("exit") }))
		if err != nil {
			t.Fatal(err)
		}
		func() {
			defer func() { _ = recover() }()
			_, _ = parser.Parse(append(strings.Fields(command), "--help"))
		}()
		name := strings.ReplaceAll(strings.TrimSpace("help "+command), " ", "-")
		goldie.New(t).Assert(t, name, out.Bytes())
	}
}

// serveVariable makes the test binary run the serve command with the settings file that it names.
const serveVariable = "BRIARLINK_TEST_SERVE"

func TestMain(m *testing.M) {
	if file := os.Getenv(serveVariable); file != "" {
		os.Exit(run([]string{"serve", "--settings", file}))
	}
	os.Exit(m.Run())
}

// TestReloadDuringStart guards against a process that ends because it is asked to reload its settings
// before it has read them.
func TestReloadDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serveVariable+"="+file)
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	// Opening the pipe returns once the process reads its settings.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
	fmt.Fprintln(settings, "{}")
	settings.Close()
	var exit *exec.ExitError
	if err := command.Wait(); !errors.As(err, &exit) || exit.ExitCode() != exitUsage {
		t.Errorf("the process ended with %v, want the exit code of invalid settings", err)
	}
}

// TestExitCodes checks the exit codes of commands that need no running host.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.hujson")
	if err := os.WriteFile(bad, []byte("{\n\"speed\": 1,\n\"log\": {\"level\": \"loud\"},\n}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		want int
	}{
		{"version", exitOK},
		{"settings check " + bad, exitUsage},
		{"settings check /does/not/exist", exitUsage},
		{"no-such-command", exitUsage},
		{"admin --address 127.0.0.1:1 --output xml status", exitUsage},
		{"admin --address 127.0.0.1:1 status", exitFailed},
		{"admin --address 127.0.0.1:1 weights", exitFailed},
		{"admin --address 127.0.0.1:1 hosts", exitFailed},
		{"admin --address 127.0.0.1:1 hosts --watch --interval 0s", exitUsage},
		{"explain r-1 /does/not/exist", exitFailed},
		{"logs check /does/not/exist", exitFailed},
		{"logs check " + bad, exitUsage},
		{"logs report " + bad, exitOK},
		{"logs report --by zone " + bad, exitOK},
		{"logs report --by host " + bad, exitUsage},
		{"logs report --by route --svg /does/not/exist " + bad, exitUsage},
	} {
		if got := run(strings.Fields(c.args)); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.args, got, c.want)
		}
	}
}

// TestServeEndsWhereAPortIsTaken: a host that cannot listen on one of its addresses exits at
// once instead of running with only the other listeners.
func TestServeEndsWhereAPortIsTaken(t *testing.T) {
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	_, port, err := net.SplitHostPort(taken.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "host.hujson")
	text := fmt.Sprintf(`{"host": {"id": "a", "availability_zone": "z"},
"listen": {"caller": "127.0.0.2:%[1]s", "ready": "127.0.0.1:%[1]s", "peer": "127.0.0.3:%[1]s"},
"platform": {"address": "127.0.0.1:1"}}`, port)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code := make(chan int, 1)
	go func() { code <- run([]string{"serve", "--settings", file}) }()
	select {
	case got := <-code:
		if got != exitFailed {
			t.Errorf("exit code %d, want %d", got, exitFailed)
		}
	case <-time.After(20 * time.Second):
		t.Error("the host did not exit")
	}
}

// TestAdminTables compares the tables of a host's status with a golden file.
func TestAdminTables(t *testing.T) {
	status := &pb.StatusResponse{
		Lease: &pb.LeaseStatus{Holder: "edge-1", FencingToken: 7},
		Hosts: []*pb.HostStatus{
			{Id: "edge-1", AvailabilityZone: "a", CallerAddress: "10.0.0.1:80", Alive: true, Ready: true, Routing: true, Direct: true, AgeMs: 12},
			{Id: "edge-2", AvailabilityZone: "a", CallerAddress: "10.0.0.2:80", Alive: true, Ready: true, AgeMs: 4200},
			{Id: "edge-3", AvailabilityZone: "b", CallerAddress: "10.0.1.1:80", Ready: true, Routing: true, AgeMs: 9000},
		},
		Replicas: []*pb.ReplicaStatus{
			{Id: "i-1", Service: "writer", State: "serving", Weights: []string{"m=2"}, Requests: 3, PrefillTokens: 900},
			{Id: "i-2", Service: "writer", State: "serving", Weights: []string{"m=1"}},
			{Id: "i-3", Service: "writer", State: "draining", Weights: []string{"m=1"}},
		},
		Quotas: []*pb.QuotaStatus{
			{Organisation: "museum-a", Unit: "tokens", PerSecond: 47000, Burst: 112000, Level: 118000, Used: 912345, Refused: 12},
			{Organisation: "museum-b", Unit: "requests", PerSecond: 20, Burst: 40, Level: 3, Used: 77},
		},
	}
	var out bytes.Buffer
	printLease(&out, status)
	for _, all := range []bool{false, true} {
		printHosts(&out, status, all)
		printReplicas(&out, status, all)
		printQuotas(&out, status, all)
	}
	printWeights(&out, status)
	// Empty tables are replaced by a sentence.
	printHosts(&out, &pb.StatusResponse{}, false)
	printReplicas(&out, &pb.StatusResponse{}, false)
	printQuotas(&out, &pb.StatusResponse{}, false)
	goldie.New(t).Assert(t, "admin-tables", out.Bytes())
}
