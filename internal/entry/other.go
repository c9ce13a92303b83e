package entry

import (
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/uuid"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
	"github.com/briarlink/briarlink/internal/dispatch"
	"github.com/briarlink/briarlink/internal/errkind"
	"github.com/briarlink/briarlink/internal/member"
	"github.com/briarlink/briarlink/internal/oai"
)

// ModelList is the answer of /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one model an organisation may use.
type ModelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(ex *exchange) error {
	list := ModelList{Object: "list", Data: []ModelItem{}}
	for _, g := range ex.view.Organisations[ex.organisation].GetGrants() {
		if ex.view.Models[g.Model] == nil {
			continue
		}
		list.Data = append(list.Data, ModelItem{g.Model, "model"})
		for _, a := range g.Adapters {
			list.Data = append(list.Data, ModelItem{g.Model + adapterSeparator + a, "model"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return ex.writeJSON(list)
}

// HostAnswer says which entry hosts to use, best first, and for how long.
type HostAnswer struct {
	Hosts       []HostItem `json:"hosts"`
	KeepSeconds float64    `json:"keep_seconds"`
}

// HostItem is one entry host.
type HostItem struct {
	ID               string `json:"id"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
}

// hosts answers which entry hosts to use. With ?prefix= every caller of the
// organisation gets the same order for the same text; with ?availability_zone=
// hosts of that zone come first.
func (s *Server) hosts(ex *exchange) error {
	query := ex.r.URL.Query()
	key := uuid.NewString()
	if p := query.Get("prefix"); p != "" {
		key = ex.organisation + "\x00" + p
	}
	answer := HostAnswer{
		Hosts:       orderHosts(s.Members.Serving(time.Now()), key, query.Get("availability_zone")),
		KeepSeconds: s.Settings.Member.AnswerTtl.AsDuration().Seconds(),
	}
	return ex.writeJSON(answer)
}

func orderHosts(serving []*pb.HostEntry, key, zone string) []HostItem {
	byID := map[string]*pb.HostEntry{}
	var ids []string
	for _, h := range serving {
		byID[h.Id] = h
		ids = append(ids, h.Id)
	}
	items := []HostItem{}
	for _, id := range member.Rank(key, ids) {
		items = append(items, HostItem{id, byID[id].CallerAddress, byID[id].AvailabilityZone})
	}
	sort.SliceStable(items, func(i, j int) bool {
		return items[i].AvailabilityZone == zone && items[j].AvailabilityZone != zone
	})
	return items
}

func (ex *exchange) writeJSON(v any) error {
	ex.w.Header().Set("Content-Type", contentJSON)
	ex.w.WriteHeader(http.StatusOK)
	_, _ = ex.w.Write(oai.Encode(v))
	return nil
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Authorization", "Content-Length",
}

// service answers a call of a plain service.
func (s *Server) service(ex *exchange) error {
	name := ex.r.PathValue("service")
	spec := ex.view.PlainServices[name]
	if spec == nil || !slices.Contains(ex.view.Organisations[ex.organisation].PlainServices, name) {
		return errkind.New(errkind.PermissionDenied, "the organisation may not call service "+name)
	}
	path := "/" + ex.r.PathValue("path")
	declared := findCall(spec, ex.r.Method, path)
	if declared == nil {
		return errkind.New(errkind.NotFound, "service "+name+" declares no such call")
	}
	body, ctx, cancel, err := s.begin(ex)
	if err != nil {
		return err
	}
	defer cancel()
	if _, err := s.Limiter.Admit(ex.organisation, 1, time.Now()); err != nil {
		return err
	}
	if ex.r.URL.RawQuery != "" {
		path += "?" + ex.r.URL.RawQuery
	}
	call := &dispatch.ServiceCall{
		Organisation:   ex.organisation,
		Addresses:      spec.Addresses,
		Method:         ex.r.Method,
		Path:           path,
		Header:         forwarded(ex.r.Header),
		Body:           body,
		Repeatable:     declared.Repeatable,
		MaxAnswerBytes: s.Settings.Request.MaxBodyBytes,
	}
	return s.onceOnly(ctx, ex, declared.Repeatable, body, func() (*settled, error) {
		answer, err := s.Services.Call(ctx, call)
		if err != nil {
			return nil, err
		}
		ex.writeService(answer)
		return &settled{answer.Status, answer.Header.Get("Content-Type"), answer.Body}, nil
	})
}

func (ex *exchange) writeService(answer *dispatch.ServiceAnswer) {
	h := ex.w.Header()
	for name, values := range forwarded(answer.Header) {
		h[name] = values
	}
	h.Set(HeaderRunState, string(errkind.Ran))
	ex.w.WriteHeader(answer.Status)
	_, _ = ex.w.Write(answer.Body)
}

func findCall(spec *pb.PlainService, method, path string) *pb.PlainCall {
	for _, c := range spec.Calls {
		if strings.EqualFold(c.Method, method) && c.Path == path {
			return c
		}
	}
	return nil
}

func forwarded(in http.Header) http.Header {
	out := in.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
