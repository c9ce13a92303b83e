package schedule

import (
	"net/url"
	"strconv"

	"github.com/briarlink/briarlink/internal/config"
)

// scope says whose requests share cached prompts. All decisions about one choice use the same
// scope, as a configuration may change it meanwhile.
type scope struct {
	// private is the organisation that shares with no other, or "".
	private string
	// shared identifies the set of organisations that the others share without; see
	// config.Config.SharedScope.
	shared string
}

// scopeOf returns the scope of an organisation's requests under the configuration in force. The
// request may have been admitted under an earlier one.
func (s *Scheduler) scopeOf(o *config.Organisation) scope {
	c := s.Config()
	if private := s.privateScope(c, o); private != "" {
		return scope{private: private}
	}
	if c == nil {
		return scope{}
	}
	return scope{shared: c.SharedScope()}
}

// SharingScope returns the name of an organisation that shares no prompts with others, or "".
func (s *Scheduler) SharingScope(o *config.Organisation) string {
	return s.privateScope(s.Config(), o)
}

func (s *Scheduler) privateScope(c *config.Config, o *config.Organisation) string {
	if o != nil && (!s.shareCache || o.Isolated || c != nil && c.IsIsolated(o.Name)) {
		return o.Name
	}
	return ""
}

// Salt returns the text that separates cached prompts by model, by weights version, and by whose
// requests share them.
func (s *Scheduler) Salt(model string, version int64, o *config.Organisation) string {
	return s.scopeOf(o).salt(model, version)
}

// salt returns a text that differs between any two models, versions and scopes: neither an escaped
// name nor an identifier contains a slash.
func (s scope) salt(model string, version int64) string {
	salt := model + "/w" + strconv.FormatInt(version, 10)
	switch {
	case s.private != "":
		return salt + "/organisation=" + url.PathEscape(s.private)
	case s.shared != "":
		return salt + "/without=" + s.shared
	default:
		return salt
	}
}
