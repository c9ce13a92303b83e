// Package statemachine has helpers shared by all state machines of this program.
package statemachine

import (
	"context"

	"github.com/looplab/fsm"
)

// Fire sends an event to m and reports whether it caused a transition. An event that is not
// allowed in the current state changes nothing.
func Fire(m *fsm.FSM, event string) bool { return m.Event(context.Background(), event) == nil }

// Diagram returns m as a Mermaid state diagram.
func Diagram(m *fsm.FSM) string {
	diagram, err := fsm.VisualizeForMermaidWithGraphType(m, fsm.StateDiagram)
	if err != nil {
		return err.Error()
	}
	return diagram
}
