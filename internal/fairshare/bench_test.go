package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures an admission while a service is short of capacity at 64 hosts that report 32
// organisations each, with 1,000 admissions a second.
func BenchmarkAdmit(b *testing.B) {
	now := testStart
	table := NewTable(1)
	var other []*Table
	for range 63 {
		other = append(other, NewTable(1))
	}
	request := func(i int) Request {
		return Request{Service: "s", Organisation: fmt.Sprint(i % 32), Cost: 1, Urgent: true, Digest: uint64(i), Deadline: now.Add(time.Second)}
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if i%150 == 0 {
			for j, o := range other {
				o.Arrived(request(i+j), now)
				o.Answered("s", 1, now)
				o.MarkShort("s", now)
				demands, refused := o.Report(now)
				table.Apply(fmt.Sprint(j), demands, refused, now)
			}
		}
		table.Admit(request(i), now)
	}
}
