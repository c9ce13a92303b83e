package state

import (
	"regexp"
	"strings"

	"github.com/google/uuid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/addr"
)

const (
	maxPriority = 9
	keyHashSize = 32
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check returns what is wrong with a change by itself, all mistakes joined by
// "; ", or "". It is part of the fold: every host must judge alike.
func Check(c *pb.Change) string {
	var wrong []string
	add := func(ok bool, msg string) {
		if !ok {
			wrong = append(wrong, msg)
		}
	}
	_, err := uuid.Parse(c.GetChangeId())
	add(err == nil, "change_id is not a UUID")
	add(idPattern.MatchString(c.GetRef().GetId()), "ref.id must be 1 to 63 characters of a-z, 0-9, '-', '.', '_'")
	add(c.GetAuthor() != "", "author is missing")
	add(c.GetRef().GetKind() != pb.ObjectKind_OBJECT_KIND_UNSPECIFIED, "ref.kind is missing")
	if c.GetSpec() != nil {
		add(specKind(c.Spec) == c.GetRef().GetKind(), "spec does not match ref.kind")
		checkSpec(c.Spec, add)
	}
	return strings.Join(wrong, "; ")
}

func specKind(s *pb.Spec) pb.ObjectKind {
	switch s.GetKind().(type) {
	case *pb.Spec_Organisation:
		return pb.ObjectKind_OBJECT_KIND_ORGANISATION
	case *pb.Spec_Model:
		return pb.ObjectKind_OBJECT_KIND_MODEL
	case *pb.Spec_BackendServer:
		return pb.ObjectKind_OBJECT_KIND_BACKEND_SERVER
	case *pb.Spec_PlainService:
		return pb.ObjectKind_OBJECT_KIND_PLAIN_SERVICE
	default:
		return pb.ObjectKind_OBJECT_KIND_UNSPECIFIED
	}
}

func checkSpec(spec *pb.Spec, add func(bool, string)) {
	switch k := spec.GetKind().(type) {
	case *pb.Spec_Organisation:
		checkOrganisation(k.Organisation, add)
	case *pb.Spec_Model:
		add(k.Model.GetVersion() != "", "model.version is missing")
	case *pb.Spec_BackendServer:
		add(addr.Valid(k.BackendServer.GetAddress()), "backend_server.address must be IP:port")
		add(k.BackendServer.GetModel() != "", "backend_server.model is missing")
	case *pb.Spec_PlainService:
		checkPlainService(k.PlainService, add)
	}
}

func checkOrganisation(o *pb.Organisation, add func(bool, string)) {
	add(o.GetPriority() >= 0 && o.GetPriority() <= maxPriority, "organisation.priority must be 0 to 9")
	for _, h := range o.GetApiKeySha256() {
		add(len(h) == keyHashSize, "organisation.api_key_sha256 entries must be 32 bytes")
	}
	guaranteed, ceiling := o.GetLimit().GetGuaranteedPerSecond(), o.GetLimit().GetCeilingPerSecond()
	add(guaranteed >= 0 && ceiling >= 0, "organisation.limit must not be negative")
	add(ceiling == 0 || guaranteed <= ceiling, "organisation.limit: guaranteed exceeds ceiling")
}

func checkPlainService(p *pb.PlainService, add func(bool, string)) {
	add(len(p.GetAddresses()) > 0, "plain_service.addresses is empty")
	for _, a := range p.GetAddresses() {
		add(addr.Valid(a), "plain_service.addresses must be IP:port")
	}
	for _, c := range p.GetCalls() {
		add(c.GetMethod() != "", "plain_service.calls.method is missing")
		add(strings.HasPrefix(c.GetPath(), "/"), "plain_service.calls.path must start with '/'")
	}
}
