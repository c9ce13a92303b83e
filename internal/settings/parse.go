// Package settings parses an entry host's settings file, which is JSON with comments. It
// checks the whole file against the schema and reports all mistakes at once, with their lines.
package settings

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/briarlink/briarlink/api/briarlink/v1"
)

// Mistake is one mistake in a settings file.
type Mistake struct {
	// Line counts from 1.
	Line int
	// Path names the setting, such as "member.dead_after".
	Path    string
	Message string
}

// String returns "line N: path: message".
func (m Mistake) String() string {
	return fmt.Sprintf("line %d: %s: %s", m.Line, m.Path, m.Message)
}

// Mistakes are all mistakes in a settings file, in order of their lines.
type Mistakes []Mistake

// Error implements error; it returns one line for each mistake.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates data, and returns the settings with all defaults filled in.
func Parse(data []byte) (*pb.Settings, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, "settings are not JSON with comments")
	}
	s := Defaults()
	r := &decoder{data: data, lines: map[string]int{}}
	r.message(s.ProtoReflect(), root, "")
	r.mistakes = append(r.mistakes, check(s, r)...)
	if len(r.mistakes) > 0 {
		sort.SliceStable(r.mistakes, func(i, j int) bool { return r.mistakes[i].Line < r.mistakes[j].Line })
		return nil, r.mistakes
	}
	return s, nil
}

// decoder decodes a JSON value into a protobuf message by reflection.
type decoder struct {
	data []byte
	// lines maps the path of each setting that is present to its line.
	lines    map[string]int
	mistakes Mistakes
}

func (r *decoder) lineAt(offset int) int { return 1 + bytes.Count(r.data[:offset], []byte("\n")) }

// line returns the line of the setting at a path, or of its nearest parent that is present.
func (r *decoder) line(path string) int {
	for path != "" {
		if n, ok := r.lines[path]; ok {
			return n
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			break
		}
		path = path[:end]
	}
	return 1
}

func (r *decoder) addMistake(v hujson.Value, path, format string, args ...any) {
	r.mistakes = append(r.mistakes, Mistake{r.lineAt(v.StartOffset), path, fmt.Sprintf(format, args...)})
}

func (r *decoder) message(m protoreflect.Message, v hujson.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.addMistake(v, path, "want an object")
		return
	}
	seen := map[string]bool{}
	for _, member := range obj.Members {
		name := member.Name.Value.(hujson.Literal).String()
		child := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			r.addMistake(member.Name, child, "set twice")
			continue
		}
		seen[name] = true
		r.lines[child] = r.lineAt(member.Name.StartOffset)
		field := m.Descriptor().Fields().ByName(protoreflect.Name(name))
		if field == nil {
			r.addMistake(member.Name, child, "unknown setting")
			continue
		}
		r.field(m, field, member.Value, child)
	}
}

func (r *decoder) field(m protoreflect.Message, field protoreflect.FieldDescriptor, v hujson.Value, path string) {
	if !field.IsList() && field.Kind() == protoreflect.MessageKind && !isDuration(field) {
		// Decode in place, so that omitted settings keep their defaults.
		r.message(m.Mutable(field).Message(), v, path)
		return
	}
	if !field.IsList() {
		if value, ok := r.value(m.NewField(field), field, v, path); ok {
			m.Set(field, value)
		}
		return
	}
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		r.addMistake(v, path, "want a list")
		return
	}
	list := m.Mutable(field).List()
	for i, element := range array.Elements {
		child := fmt.Sprintf("%s[%d]", path, i)
		r.lines[child] = r.lineAt(element.StartOffset)
		if value, ok := r.value(list.NewElement(), field, element, child); ok {
			list.Append(value)
		}
	}
}

// value decodes one value of the field's type.
func (r *decoder) value(empty protoreflect.Value, field protoreflect.FieldDescriptor, v hujson.Value, path string) (protoreflect.Value, bool) {
	if field.Kind() == protoreflect.MessageKind {
		if isDuration(field) {
			return r.duration(v, path)
		}
		r.message(empty.Message(), v, path)
		return empty, true
	}
	lit, _ := v.Value.(hujson.Literal)
	switch kind := field.Kind(); {
	case kind == protoreflect.StringKind && lit.Kind() == '"':
		return protoreflect.ValueOfString(lit.String()), true
	case kind == protoreflect.BoolKind && (lit.Kind() == 't' || lit.Kind() == 'f'):
		return protoreflect.ValueOfBool(lit.Bool()), true
	case kind == protoreflect.DoubleKind && lit.Kind() == '0':
		return protoreflect.ValueOfFloat64(lit.Float()), true
	case kind == protoreflect.Int64Kind && isInteger(lit):
		return protoreflect.ValueOfInt64(lit.Int()), true
	case kind == protoreflect.Int32Kind && isInteger(lit):
		return protoreflect.ValueOfInt32(int32(lit.Int())), true
	default:
		r.addMistake(v, path, "want a %s without a unit", kind)
		return empty, false
	}
}

func isDuration(field protoreflect.FieldDescriptor) bool {
	return field.Message() != nil && field.Message().FullName() == "google.protobuf.Duration"
}

func isInteger(lit hujson.Literal) bool {
	return lit.Kind() == '0' && lit.Float() == float64(lit.Int())
}

func (r *decoder) duration(v hujson.Value, path string) (protoreflect.Value, bool) {
	lit, _ := v.Value.(hujson.Literal)
	if lit.Kind() != '"' {
		r.addMistake(v, path, `want a duration with its unit, such as "500ms" or "2s"`)
		return protoreflect.Value{}, false
	}
	d, err := time.ParseDuration(lit.String())
	if err != nil {
		r.addMistake(v, path, `%q is not a duration such as "500ms" or "2s"`, lit.String())
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfMessage(durationpb.New(d).ProtoReflect()), true
}
