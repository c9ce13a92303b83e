package entry

import "testing"

// TestAnswersWithInvalidStatusesReachNoCaller guards against a status that is none, which was passed on, or ended the
// caller's connection without any answer.
func TestAnswersWithInvalidStatusesReachNoCaller(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nhi"
	for _, status := range []string{"000", "099", "+20", "-00", "-99", "600", "999", "20x", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			checkBroken(t, rawAnswer{withStatus("HTTP/1.1 "+status+" X") + body, true, stay}, false)
		})
	}
	t.Run("000 without a length", func(t *testing.T) {
		checkBroken(t, rawAnswer{withStatus("HTTP/1.1 000 X") + "\r\nhi", true, endAndStay}, false)
	})
	t.Run("in place of an informational one", func(t *testing.T) {
		checkBroken(t, rawAnswer{"HTTP/1.1 099 X\r\n\r\n" + answerHead + body, true, stay}, false)
	})
}

// TestUnusualStatusesArriveWhole guards against answers that are refused for a status that is unusual, and valid.
func TestUnusualStatusesArriveWhole(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nhi"
	for line, status := range map[string]int{
		"HTTP/1.1 299 Unassigned": 299, "HTTP/1.1 499 Unassigned": 499, "HTTP/1.1 599 Unassigned": 599,
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 404 \t\xfc": 404,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Unassigned\r\n\r\nHTTP/1.1 200 OK": 200,
	} {
		t.Run(line, func(t *testing.T) { checkWhole(t, rawAnswer{withStatus(line) + body, true, stay}, status, "hi", "") })
	}
}
