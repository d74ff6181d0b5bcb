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

// FieldError is an error in a settings or configuration file, with its position.
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

// Source is the text of a settings or configuration file and the file name to report in
// errors.
type Source struct {
	File string
	Text []byte
}

// ParseSite merges overlay, which may be empty, into base as an RFC 7386 merge patch, sets
// defaults and validates the result; errors are of type *FieldError.
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
	if fieldErr := site.validate(); fieldErr != nil {
		return nil, setPosition(fieldErr, base, overlay)
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

// toJSON converts src to standard JSON by removing comments and trailing commas. It
// preserves line numbers.
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
	fieldErr := &FieldError{Field: "(whole)", Reason: err.Error()}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		fieldErr.Field = typeErr.Field
		fieldErr.Reason = "cannot use " + typeErr.Value + " as " + typeErr.Type.String() + " value"
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		fieldErr.Field = strings.Trim(name, `"`)
		fieldErr.Reason = "unknown field"
	}
	return setPosition(fieldErr, sources...)
}

// setPosition sets File and Line to the first occurrence of the field's name. Later sources
// take precedence, because overlays override the base.
func setPosition(fieldErr *FieldError, sources ...Source) *FieldError {
	name := fieldErr.Field[strings.LastIndex(fieldErr.Field, ".")+1:]
	quoted := []byte(`"` + name + `"`)
	for i := len(sources) - 1; i >= 0; i-- {
		offset := bytes.Index(sources[i].Text, quoted)
		if offset >= 0 {
			fieldErr.File = sources[i].File
			fieldErr.Line = 1 + bytes.Count(sources[i].Text[:offset], []byte("\n"))
			return fieldErr
		}
	}
	fieldErr.File = sources[0].File
	fieldErr.Line = 1
	return fieldErr
}
