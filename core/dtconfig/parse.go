package dtconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"
)

// FieldError is an error in a configuration file, with its position.
type FieldError struct {
	File   string
	Line   int
	Field  string
	Reason string
}

// Error formats the error as "file:line: field: reason".
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}

// Source is a configuration text and the file name that errors give for it.
type Source struct {
	File string
	Text []byte
}

// ParseSite merges overlay, which may be empty, into base as an RFC 7386 merge patch,
// sets defaults and validates the result. Errors are of type *FieldError.
func ParseSite(base, overlay Source) (*Site, error) {
	merged, err := merge(base, overlay)
	if err != nil {
		return nil, err
	}
	site := &Site{}
	if err := decodeStrict(merged, site); err != nil {
		return nil, wrapDecodeError(err, base, overlay)
	}
	site.setDefaults()
	if p := site.validate(); p != nil {
		return nil, setPosition(p, base, overlay)
	}
	return site, nil
}

// decodeSource decodes JSON with comments into v and rejects unknown fields.
func decodeSource(src Source, v any) error {
	plain, err := toJSON(src)
	if err != nil {
		return err
	}
	if err := decodeStrict(plain, v); err != nil {
		return wrapDecodeError(err, src)
	}
	return nil
}

// merge returns base as plain JSON with overlay applied.
func merge(base, overlay Source) ([]byte, error) {
	doc, err := toJSON(base)
	if err != nil {
		return nil, err
	}
	if len(bytes.TrimSpace(overlay.Text)) == 0 {
		return doc, nil
	}
	patch, err := toJSON(overlay)
	if err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(doc, patch)
	if err != nil {
		return nil, &FieldError{File: overlay.File, Line: 1, Field: "(whole)", Reason: err.Error()}
	}
	return merged, nil
}

// toJSON removes comments and trailing commas without moving any line.
func toJSON(src Source) ([]byte, error) {
	text := append([]byte(nil), src.Text...)
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, &FieldError{File: src.File, Line: lineNumber(err.Error()), Field: "(syntax)", Reason: err.Error()}
	}
	return plain, nil
}

// lineNumber returns the line number in an error message of hujson, or 1.
func lineNumber(msg string) int {
	var n int
	if i := strings.Index(msg, "line "); i >= 0 {
		if _, err := fmt.Sscanf(msg[i:], "line %d", &n); err == nil {
			return n
		}
	}
	return 1
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(plain []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON value")
	}
	return nil
}

// wrapDecodeError converts an error of the JSON decoder to a FieldError with field and line.
func wrapDecodeError(err error, sources ...Source) error {
	p := &FieldError{Field: "(whole)", Reason: err.Error()}
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		p.Field = typed.Field
		p.Reason = "cannot use " + typed.Value + " as " + typed.Type.String() + " value"
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		p.Field = strings.Trim(name, `"`)
		p.Reason = "unknown field"
	}
	return setPosition(p, sources...)
}

// setPosition sets the file and line at which the field's name first appears in the last
// source that has it.
func setPosition(p *FieldError, sources ...Source) *FieldError {
	name := p.Field[strings.LastIndex(p.Field, ".")+1:]
	quoted := []byte(`"` + name + `"`)
	for i := len(sources) - 1; i >= 0; i-- {
		at := bytes.Index(sources[i].Text, quoted)
		if at >= 0 {
			p.File = sources[i].File
			p.Line = 1 + bytes.Count(sources[i].Text[:at], []byte("\n"))
			return p
		}
	}
	p.File = sources[0].File
	p.Line = 1
	return p
}
