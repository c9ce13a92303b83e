package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// print writes msg as JSON, or header and rows as a table.
func (s *session) print(msg proto.Message, header []string, rows [][]string) {
	if s.output == "json" {
		fmt.Println(protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Format(msg))
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
}

var outcomeHeader = []string{"OFFSET", "TIME", "AUTHOR", "OBJECT", "FROM", "TO", "VERDICT", "CHANGE", "REASON"}

func outcomeRows(outcomes []*pb.ChangeOutcome) [][]string {
	var rows [][]string
	for _, o := range outcomes {
		verdict := strings.ToLower(strings.TrimPrefix(o.Verdict.String(), "VERDICT_"))
		rows = append(rows, []string{
			number(o.Offset), time.UnixMilli(o.TimeMs).UTC().Format(time.RFC3339), o.Author,
			kindName(o.Ref.GetKind()) + "/" + o.Ref.GetId(), number(o.FromVersion), number(o.ToVersion),
			verdict, o.ChangeId, o.Reason,
		})
	}
	return rows
}

func number(n uint64) string { return strconv.FormatUint(n, 10) }

type getCmd struct{ objectArgs }

// Run implements the get command.
func (c *getCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.GetObject(s.ctx, connect.NewRequest(&pb.GetObjectRequest{Ref: c.ref()}))
	if err != nil {
		return err
	}
	s.print(resp.Msg, objectHeader, objectRows([]*pb.Object{resp.Msg.Object}))
	return nil
}

var objectHeader = []string{"KIND", "ID", "VERSION", "SPEC"}

func objectRows(objects []*pb.Object) [][]string {
	var rows [][]string
	for _, o := range objects {
		spec := protojson.MarshalOptions{UseProtoNames: true}.Format(o.Spec)
		rows = append(rows, []string{kindName(o.Ref.Kind), o.Ref.Id, number(o.Version), spec})
	}
	return rows
}

type listCmd struct {
	Kind string `arg:"" optional:"" enum:",organisation,model,backend-server,plain-service" default:"" help:"organisation, model, backend-server or plain-service."`
}

// Run implements the list command.
func (c *listCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.ListObjects(s.ctx, connect.NewRequest(&pb.ListObjectsRequest{Kind: kinds[kindArg(c.Kind)]}))
	if err != nil {
		return err
	}
	s.print(resp.Msg, objectHeader, objectRows(resp.Msg.Objects))
	return nil
}

type changeCmd struct {
	ID string `arg:"" help:"Change ID."`
}

// Run implements the change command.
func (c *changeCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.GetChange(s.ctx, connect.NewRequest(&pb.GetChangeRequest{ChangeId: c.ID}))
	if err != nil {
		return err
	}
	var outcomes []*pb.ChangeOutcome
	if resp.Msg.Outcome != nil {
		outcomes = append(outcomes, resp.Msg.Outcome)
	}
	s.print(resp.Msg, outcomeHeader, outcomeRows(outcomes))
	return nil
}

type auditCmd struct {
	From  uint64 `help:"Lowest log offset."`
	Limit int32  `default:"100" help:"At most this many entries."`
}

// Run implements the audit command.
func (c *auditCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.ListAudit(s.ctx, connect.NewRequest(&pb.ListAuditRequest{FromOffset: c.From, Limit: c.Limit}))
	if err != nil {
		return err
	}
	s.print(resp.Msg, outcomeHeader, outcomeRows(resp.Msg.Outcomes))
	return nil
}

type hostsCmd struct{}

// Run implements the hosts command.
func (hostsCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.ListHosts(s.ctx, connect.NewRequest(&pb.ListHostsRequest{}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, h := range resp.Msg.Hosts {
		rows = append(rows, []string{
			h.Id, h.AvailabilityZone, h.CallerAddress,
			strconv.FormatBool(h.Alive), strconv.FormatBool(h.Leaving), number(h.AppliedOffset),
		})
	}
	s.print(resp.Msg, []string{"ID", "ZONE", "ADDRESS", "ALIVE", "LEAVING", "APPLIED"}, rows)
	return nil
}

type replicasCmd struct{}

// Run implements the replicas command.
func (replicasCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	resp, err := s.client.ListReplicas(s.ctx, connect.NewRequest(&pb.ListReplicasRequest{}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, r := range resp.Msg.Replicas {
		rows = append(rows, []string{
			r.Id, r.Address, r.State, r.Model, r.Version,
			strconv.FormatInt(r.QueuedPieces, 10), strconv.FormatInt(r.IndexedPieces, 10), r.Reason,
		})
	}
	s.print(resp.Msg, []string{"ID", "ADDRESS", "STATE", "MODEL", "VERSION", "QUEUED", "INDEXED", "REASON"}, rows)
	return nil
}
