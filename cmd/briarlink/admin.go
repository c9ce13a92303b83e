package main

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/api/briarlink/v1/briarlinkv1connect"
	"github.com/briarlink/briarlink/internal/admin"
)

type adminCmd struct {
	Address string        `required:"" env:"BRIARLINK_ADDRESS" help:"IP:port of any entry host's operator listener."`
	Token   string        `required:"" env:"BRIARLINK_TOKEN" help:"Operator's token."`
	Output  string        `enum:"json,table" default:"table" help:"Output format: json or table."`
	Timeout time.Duration `default:"30s" help:"Limit on the whole command."`

	Apply    applyCmd    `cmd:"" help:"Write the objects of a file, one change each."`
	Delete   deleteCmd   `cmd:"" help:"Delete an object."`
	Drain    drainCmd    `cmd:"" help:"Send no new work to a backend server."`
	Get      getCmd      `cmd:"" help:"Print an object."`
	List     listCmd     `cmd:"" help:"Print all objects, or those of one kind."`
	Change   changeCmd   `cmd:"" help:"Print what became of a change ID."`
	Audit    auditCmd    `cmd:"" help:"Print the audit trail."`
	Hosts    hostsCmd    `cmd:"" help:"Print the entry hosts."`
	Replicas replicasCmd `cmd:"" help:"Print the backend servers."`
}

// session is what every operators' command needs.
type session struct {
	ctx    context.Context
	client briarlinkv1connect.AdminServiceClient
	output string
}

// open returns a session and the function that ends it.
func (a *adminCmd) open() (*session, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	return &session{ctx, admin.NewClient(a.Address, a.Token), a.Output}, cancel
}

type kindArg string

var kinds = map[kindArg]pb.ObjectKind{
	"":               pb.ObjectKind_OBJECT_KIND_UNSPECIFIED,
	"organisation":   pb.ObjectKind_OBJECT_KIND_ORGANISATION,
	"model":          pb.ObjectKind_OBJECT_KIND_MODEL,
	"backend-server": pb.ObjectKind_OBJECT_KIND_BACKEND_SERVER,
	"plain-service":  pb.ObjectKind_OBJECT_KIND_PLAIN_SERVICE,
}

func kindName(k pb.ObjectKind) string {
	for name, kind := range kinds {
		if kind == k {
			return string(name)
		}
	}
	return k.String()
}

type applyCmd struct {
	File            string `arg:"" help:"File with a list of objects, or - for standard input: JSON with comments."`
	ExpectedVersion int64  `default:"-1" help:"Version edited; -1 takes the one in force. For a single object."`
	ChangeID        string `help:"UUID of the change, for a single object. Submitting it again has no further effect."`
	NoWait          bool   `help:"Do not wait until every host has the change in force."`
}

// Run implements the apply command.
func (c *applyCmd) Run(a *adminCmd) error {
	objects, err := readObjects(c.File)
	if err != nil {
		return usage(err)
	}
	if len(objects) != 1 && (c.ChangeID != "" || c.ExpectedVersion >= 0) {
		return usage(errors.New("--change-id and --expected-version need a file with one object"))
	}
	s, end := a.open()
	defer end()
	for _, o := range objects {
		change := &pb.Change{ChangeId: c.ChangeID, Ref: o.Ref, Spec: o.Spec}
		if err := s.submit(change, c.ExpectedVersion, !c.NoWait); err != nil {
			return err
		}
	}
	return nil
}

// readObjects reads {"objects": [{"ref": ..., "spec": ...}]}.
func readObjects(file string) ([]*pb.Object, error) {
	var data []byte
	var err error
	if file == "-" {
		data, err = io.ReadAll(os.Stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, errors.Wrap(err, "read objects")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return nil, errors.Wrap(err, "objects are not JSON with comments")
	}
	list := &pb.ListObjectsResponse{}
	if err := protojson.Unmarshal(standard, list); err != nil {
		return nil, errors.Wrap(err, "objects do not fit the schema")
	}
	return list.Objects, nil
}

// submit sends one change and prints its outcome.
func (s *session) submit(change *pb.Change, expected int64, wait bool) error {
	if change.ChangeId == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return errors.Wrap(err, "make a change ID")
		}
		change.ChangeId = id.String()
	}
	if expected < 0 {
		version, err := s.versionOf(change.Ref)
		if err != nil {
			return err
		}
		expected = int64(version)
	}
	change.ExpectedVersion = uint64(expected)
	resp, err := s.client.ApplyChange(s.ctx, connect.NewRequest(&pb.ApplyChangeRequest{Change: change, WaitInForce: wait}))
	if err != nil {
		return s.changeError(change.ChangeId, err)
	}
	out := resp.Msg.Outcome
	s.print(resp.Msg, outcomeHeader, outcomeRows([]*pb.ChangeOutcome{out}))
	if out.Verdict == pb.Verdict_VERDICT_STALE {
		return &exitError{exitUnknown, errors.Errorf("change %s: %s", out.ChangeId, out.Reason)}
	}
	if out.Verdict != pb.Verdict_VERDICT_ACCEPTED {
		return &exitError{exitRefused, errors.Errorf("change %s refused: %s", out.ChangeId, out.Reason)}
	}
	return nil
}

// changeError says whether a change may still take effect.
func (s *session) changeError(changeID string, err error) error {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return &exitError{exitRefused, err}
	default:
		return &exitError{exitUnknown, errors.Wrapf(err, "change %s may or may not take effect", changeID)}
	}
}

func (s *session) versionOf(ref *pb.ObjectRef) (uint64, error) {
	resp, err := s.client.GetObject(s.ctx, connect.NewRequest(&pb.GetObjectRequest{Ref: ref}))
	if connect.CodeOf(err) == connect.CodeNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return resp.Msg.Object.Version, nil
}

type objectArgs struct {
	Kind string `arg:"" enum:"organisation,model,backend-server,plain-service" help:"organisation, model, backend-server or plain-service."`
	ID   string `arg:"" help:"Object's ID."`
}

func (o objectArgs) ref() *pb.ObjectRef {
	return &pb.ObjectRef{Kind: kinds[kindArg(o.Kind)], Id: o.ID}
}

type deleteCmd struct {
	objectArgs
	ExpectedVersion int64 `default:"-1" help:"Version deleted; -1 takes the one in force."`
}

// Run implements the delete command.
func (c *deleteCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	return s.submit(&pb.Change{Ref: c.ref()}, c.ExpectedVersion, true)
}

type drainCmd struct {
	ID   string `arg:"" help:"Backend server."`
	Undo bool   `help:"Send new work again."`
}

// Run implements the drain command.
func (c *drainCmd) Run(a *adminCmd) error {
	s, end := a.open()
	defer end()
	ref := &pb.ObjectRef{Kind: pb.ObjectKind_OBJECT_KIND_BACKEND_SERVER, Id: c.ID}
	resp, err := s.client.GetObject(s.ctx, connect.NewRequest(&pb.GetObjectRequest{Ref: ref}))
	if err != nil {
		return err
	}
	object := resp.Msg.Object
	object.Spec.GetBackendServer().Draining = !c.Undo
	return s.submit(&pb.Change{Ref: ref, Spec: object.Spec}, int64(object.Version), true)
}

type hashCmd struct{}

// Run implements the hash command.
func (hashCmd) Run() error {
	text, err := io.ReadAll(os.Stdin)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	sum := sha256.Sum256([]byte(strings.TrimSpace(string(text))))
	fmt.Printf("hex     %s\nbase64  %s\n", hex.EncodeToString(sum[:]), base64.StdEncoding.EncodeToString(sum[:]))
	return nil
}
