// Package statemachine has what every state machine of this program shares.
package statemachine

import (
	"context"

	"github.com/looplab/fsm"
)

// Fire moves m by event and reports whether it moved. An event that does not
// belong to the present state changes nothing.
func Fire(m *fsm.FSM, event string) bool { return m.Event(context.Background(), event) == nil }

// Diagram returns m as a Mermaid state diagram.
func Diagram(m *fsm.FSM) string {
	diagram, err := fsm.VisualizeForMermaidWithGraphType(m, fsm.StateDiagram)
	if err != nil {
		return err.Error()
	}
	return diagram
}
