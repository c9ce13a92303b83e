package state

import (
	"crypto/sha256"
	"slices"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// View is the configuration in the form in which requests look it up. It is
// immutable.
type View struct {
	Organisations  map[string]*pb.Organisation
	Models         map[string]*pb.Model
	BackendServers map[string]*pb.BackendServer
	PlainServices  map[string]*pb.PlainService
	byKey          map[[sha256.Size]byte]string
}

// View returns the lookup form of s, built at the first call.
func (s *State) View() *View {
	s.viewOnce.Do(func() { s.view = newView(s.Objects) })
	return s.view
}

func newView(objects map[Ref]*pb.Object) *View {
	v := &View{
		Organisations:  map[string]*pb.Organisation{},
		Models:         map[string]*pb.Model{},
		BackendServers: map[string]*pb.BackendServer{},
		PlainServices:  map[string]*pb.PlainService{},
		byKey:          map[[sha256.Size]byte]string{},
	}
	for ref, o := range objects {
		switch k := o.Spec.Kind.(type) {
		case *pb.Spec_Organisation:
			v.Organisations[ref.ID] = k.Organisation
			v.addKeys(ref.ID, k.Organisation)
		case *pb.Spec_Model:
			v.Models[ref.ID] = k.Model
		case *pb.Spec_BackendServer:
			v.BackendServers[ref.ID] = k.BackendServer
		case *pb.Spec_PlainService:
			v.PlainServices[ref.ID] = k.PlainService
		}
	}
	return v
}

// addKeys gives a key that two organisations list to the lower ID, so that
// every host decides alike.
func (v *View) addKeys(id string, o *pb.Organisation) {
	for _, digest := range o.ApiKeySha256 {
		key := [sha256.Size]byte(digest)
		if other, taken := v.byKey[key]; !taken || id < other {
			v.byKey[key] = id
		}
	}
}

// OrganisationOf returns the organisation an API key belongs to.
func (v *View) OrganisationOf(apiKey string) (string, bool) {
	id, ok := v.byKey[sha256.Sum256([]byte(apiKey))]
	return id, ok
}

// MayUse reports whether an organisation may use a model with an adapter; an
// empty adapter means the model itself.
func (v *View) MayUse(organisation, model, adapter string) bool {
	for _, g := range v.Organisations[organisation].GetGrants() {
		if g.Model == model && (adapter == "" || slices.Contains(g.Adapters, adapter)) {
			return true
		}
	}
	return false
}
