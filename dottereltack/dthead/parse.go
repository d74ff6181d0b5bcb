package dthead

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Sizes for which a parser allocates ahead.
const (
	expectedFields = 8
	maxQuotedBytes = 64 // Of a malformed line, in an error.
)

// parser reads a head line by line.
type parser struct {
	head       Head
	hasStatus  bool
	lengthText string   // Value of Content-Length.
	values     []string // Not yet used by head.Header, most of whose fields have one value.
}

func newParser() *parser {
	return &parser{
		head:   Head{Header: make(http.Header, expectedFields), Length: UnknownLength},
		values: make([]string, expectedFields),
	}
}

// parseLine adds a line with its line end, and reports whether it is the blank line that ends the head.
func (p *parser) parseLine(line []byte) (isEnd bool, err error) {
	p.head.Size += len(line)
	text := string(trimLineEnd(line))
	switch {
	case !p.hasStatus:
		p.hasStatus = true
		return false, p.parseStatusLine(text)
	case text == "":
		return true, nil
	}
	name, value, err := parseField(text)
	if err != nil {
		return false, err
	}
	return false, p.addField(textproto.CanonicalMIMEHeaderKey(name), value)
}

// endError returns the error of a head that ends within line with err. What is not the begin of a status line is malformed whatever
// would have followed.
func (p *parser) endError(line []byte, err error) error {
	if !p.hasStatus && !strings.HasPrefix(versionPrefix, string(line[:min(len(line), len(versionPrefix))])) {
		return malformed("status line", string(line))
	}
	return unexpectedEOF(err)
}

// versionPrefix begins each status line, and the minor version follows.
const versionPrefix = "HTTP/1."

// parseStatusLine parses a line such as "HTTP/1.1 200 OK". Its reason phrase may be missing, as it is from old servers.
func (p *parser) parseStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, isHTTP1 := strings.CutPrefix(version, versionPrefix)
	status, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	const statusDigits = 3
	if !isHTTP1 || len(minor) != 1 || !isNumber(minor) || len(status) != statusDigits || !isNumber(status) || !IsFieldValue(reason) {
		return malformed("status line", line)
	}
	p.head.IsHTTP10 = minor == "0"
	p.head.Status, _ = strconv.Atoi(status)
	return nil
}

// parseField parses a field line. Blanks between a name and its colon, which some parsers drop, are part of the name, and a line that
// begins with one, which some append to the line before, is no field.
func parseField(line string) (name, value string, err error) {
	name, value, hasColon := strings.Cut(line, ":")
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return "", "", malformed("folded field line", line)
	case !hasColon || !IsToken(name):
		return "", "", malformed("field name", line)
	case !IsFieldValue(value):
		return "", "", malformed("field value", line)
	}
	return name, textproto.TrimString(value), nil
}

// addField adds a field to the header, and applies those that determine the length of the body.
func (p *parser) addField(name, value string) error {
	var err error
	switch name {
	case "Content-Length":
		err = p.setLength(value)
	case "Transfer-Encoding":
		err = p.setCoding(value)
	}
	if values := p.head.Header[name]; len(values) > 0 {
		p.head.Header[name] = append(values, value)
		return err
	}
	if len(p.values) == 0 {
		p.values = make([]string, expectedFields)
	}
	p.values[0] = value
	p.head.Header[name], p.values = p.values[:1:1], p.values[1:]
	return err
}

// setLength applies Content-Length, a plain decimal number. A server may repeat it, but not with another value.
func (p *parser) setLength(value string) error {
	const maxDigits = 18 // Less than the largest int64.
	if len(value) > maxDigits || !isNumber(value) || p.lengthText != "" && p.lengthText != value {
		return malformed("Content-Length", value)
	}
	p.lengthText = value
	p.head.Length, _ = strconv.ParseInt(value, 10, 64)
	return nil
}

// setCoding applies Transfer-Encoding. HTTP/1.0 does not define it, so that some recipients ignore it there.
func (p *parser) setCoding(value string) error {
	if p.head.IsHTTP10 || p.head.IsChunked || !strings.EqualFold(value, "chunked") {
		return malformed("Transfer-Encoding", value)
	}
	p.head.IsChunked = true
	return nil
}

// malformed returns the error of a part of a head, the start of which it quotes.
func malformed(part, text string) error {
	return fmt.Errorf("%w: %s %.*q", ErrMalformed, part, maxQuotedBytes, text)
}

// isNumber reports whether s is a decimal number without a sign.
func isNumber(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return s != ""
}

// IsToken reports whether s is a token, the syntax of method and field names.
func IsToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-':
		case strings.IndexByte("!#$%&'*+.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return s != ""
}

// IsFieldValue reports whether s, a field value or reason phrase, has no control characters but tabs.
func IsFieldValue(s string) bool {
	const del = 0x7f
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == del {
			return false
		}
	}
	return true
}

// HasOption reports whether a comma-separated list contains an option.
func HasOption(list, option string) bool {
	for part := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(textproto.TrimString(part), option) {
			return true
		}
	}
	return false
}
