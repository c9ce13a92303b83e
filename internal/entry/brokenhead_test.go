package entry

import (
	"strings"
	"testing"
)

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
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.9 200 OK": 200, "HTTP/1.1 404 \t\xfc": 404,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Unassigned\r\n\r\nHTTP/1.1 200 OK": 200,
	} {
		t.Run(line, func(t *testing.T) { checkWhole(t, rawAnswer{withStatus(line) + body, true, stay}, status, "hi", "") })
	}
}

// TestAnswersOfOtherProtocolsReachNoCaller guards against an answer that was passed on although its version says that it is
// not to be read as HTTP/1.
func TestAnswersOfOtherProtocolsReachNoCaller(t *testing.T) {
	for _, version := range []string{"HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/1", "HTTP/1.x", "http/1.1", "ICY"} {
		t.Run(version, func(t *testing.T) {
			checkBroken(t, rawAnswer{withStatus(version+" 200 OK") + "Content-Length: 2\r\n\r\nhi", true, stay}, false)
		})
	}
}

// TestChunkedAnswersOfHTTP10ReachNoCaller guards against a body with the framing of its chunks: HTTP/1.0 has none, and the
// field that states them was dropped.
func TestChunkedAnswersOfHTTP10ReachNoCaller(t *testing.T) {
	const chunks = "10\r\n0123456789abcdef\r\n0\r\n\r\n"
	for name, fields := range map[string]string{
		"no length":       "Transfer-Encoding: chunked\r\n",
		"a length":        "transfer-encoding: chunked\r\nContent-Length: 16\r\n",
		"many fields":     strings.Repeat("X-Filler: 1\r\n", 100) + "Transfer-Encoding: chunked\r\n",
		"lines by return": "X-Filler: 1\nTransfer-Encoding: chunked\n",
	} {
		t.Run(name, func(t *testing.T) {
			checkBroken(t, rawAnswer{withStatus("HTTP/1.0 200 OK") + fields + "\r\n" + chunks, true, endAndStay}, false)
		})
	}
}

// TestAnswersWithInvalidFieldNamesReachNoCaller guards against a head with a name that is none: the line was passed on or left
// out, and a length or chunks that were declared by it were not kept to.
func TestAnswersWithInvalidFieldNamesReachNoCaller(t *testing.T) {
	const chunks = "10\r\n0123456789abcdef\r\n0\r\n\r\n"
	for name, rest := range map[string]string{
		"a blank before the colon of a length": "Content-Length : 16\r\n\r\n0123456789abcdef0123",
		"a blank before the colon of chunks":   "Transfer-Encoding : chunked\r\n\r\n" + chunks,
		"a blank before the colon":             "X-Filler : 1\r\nContent-Length: 2\r\n\r\nhi",
		"a blank in the name":                  "X Filler: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a tab":                                "X-Filler\t: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a carriage return":                    "X\rFiller: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a null byte":                          "X-Filler\x00: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a control byte":                       "X-\x01Filler: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a deleted byte":                       "X-Filler\x7f: 1\r\nContent-Length: 2\r\n\r\nhi",
		"a byte above 127":                     "X-F\xfcller: 1\r\nContent-Length: 2\r\n\r\nhi",
		"no name":                              ": 1\r\nContent-Length: 2\r\n\r\nhi",
		"a null byte in a value":               "X-Filler: a\x00b\r\nContent-Length: 2\r\n\r\nhi",
		"two lengths":                          "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
	} {
		t.Run(name, func(t *testing.T) { checkBroken(t, rawAnswer{answerHead + rest, true, endAndStay}, false) })
	}
	t.Run("in an informational head", func(t *testing.T) {
		checkBroken(t, rawAnswer{"HTTP/1.1 103 X\r\nX Filler: 1\r\n\r\n" + answerHead + "Content-Length: 2\r\n\r\nhi", true, stay}, false)
	})
}

// TestUnusualFieldsArriveWhole guards against answers that are refused for a field that is unusual, and valid.
func TestUnusualFieldsArriveWhole(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nhi"
	for line, field := range map[string]string{
		"x!#$%&'*+-.^_`|~9Z: 1": "x!#$%&'*+-.^_`|~9Z: 1",
		"X-Filler: a\tb":        "X-Filler: a\tb", "X-Filler: a\xfcb": "X-Filler: a\xfcb", "X-Filler: \t 1 \t": "X-Filler: 1",
		"X-Filler:": "", "X-Filler:1": "X-Filler: 1", "X-Filler: Transfer-Encoding: chunked": "X-Filler: Transfer-Encoding: chunked",
	} {
		t.Run(line, func(t *testing.T) {
			checkWhole(t, rawAnswer{answerHead + line + "\r\n" + body, true, stay}, 200, "hi", field)
		})
	}
}
