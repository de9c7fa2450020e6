package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"github.com/citronvane/citronvane/internal/errs"
)

// MaxAttempts is the number of accepted attempts that the configuration remembers. An operator's
// program that lost an answer finds its attempt there, unless more patches than this were accepted since.
const MaxAttempts = 64

// MaxPatchBytes bounds a patch. The document has to fit a platform value of 1 MB.
const MaxPatchBytes = 512 << 10

// Patch is a change of the configuration that an operator asks for.
type Patch struct {
	// Base is the number of the configuration that the operator saw.
	Base uint64 `json:"base"`
	// Identity is unique to this attempt. Repeating an accepted attempt has no further effect.
	Identity string `json:"identity"`
	Author   string `json:"author"`
	// Merge is a JSON merge patch (RFC 7396) of the document: null removes a member.
	Merge json.RawMessage `json:"merge"`
}

// Accepted returns the number under which an attempt was accepted.
func (v *Versioned) Accepted(identity string) (uint64, bool) {
	for _, a := range v.Attempts {
		if a.Identity == identity {
			return a.Number, true
		}
	}
	return 0, false
}

// Apply returns the configuration with the patch applied and checked as a whole. The error is of kind
// Conflict for a stale patch and of kind Invalid for a patch that is wrong.
func (v *Versioned) Apply(p Patch, now time.Time) (*Versioned, error) {
	if p.Identity == "" {
		return nil, errs.New(errs.Invalid, "Give the patch an identity that is unique to this attempt, such as a UUID.", "patch has no identity")
	}
	if p.Base != v.Number {
		return nil, errs.New(errs.Conflict,
			"Read the current configuration, check that the change still fits, and patch against its number.",
			"patch is against configuration %d, but %d is current", p.Base, v.Number)
	}
	document, err := mergeDocument(v.Document, p.Merge)
	if err != nil {
		return nil, err
	}
	document.setDefaults()
	if err := document.Validate(); err != nil {
		return nil, err
	}
	if err := checkTransition(&v.Document, &document); err != nil {
		return nil, err
	}
	next := &Versioned{Number: v.Number + 1, Document: document}
	next.Attempts = append(slices.Clone(v.Attempts), Attempt{
		Identity: p.Identity,
		Number:   next.Number,
		Author:   p.Author,
		At:       now.UTC(),
	})
	if extra := len(next.Attempts) - MaxAttempts; extra > 0 {
		next.Attempts = next.Attempts[extra:]
	}
	return next, nil
}

func mergeDocument(document Document, merge json.RawMessage) (Document, error) {
	if len(merge) > MaxPatchBytes {
		return Document{}, errs.New(errs.TooLarge, "Split the change into smaller patches.", "patch has %d bytes, more than %d", len(merge), MaxPatchBytes)
	}
	current, err := json.Marshal(document)
	if err != nil {
		return Document{}, errs.Wrap(err, errs.Internal, "Report this fault.", "encode the current document")
	}
	merged, err := mergePatch(current, merge)
	if err != nil {
		return Document{}, err
	}
	decoder := json.NewDecoder(bytes.NewReader(merged))
	decoder.DisallowUnknownFields()
	var next Document
	if err := decoder.Decode(&next); err != nil {
		return Document{}, errs.Wrap(err, errs.Invalid, "Correct the field; docs/OPERATIONS.md lists all fields.", "patched document")
	}
	return next, nil
}

// mergePatch applies a JSON merge patch (RFC 7396).
func mergePatch(target, patch []byte) ([]byte, error) {
	var t, p any
	if err := json.Unmarshal(target, &t); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "Report this fault.", "decode the current document")
	}
	if err := json.Unmarshal(patch, &p); err != nil {
		return nil, errs.Wrap(err, errs.Invalid, "Send a JSON object.", "decode the patch")
	}
	if _, ok := p.(map[string]any); !ok {
		return nil, errs.New(errs.Invalid, "Send a JSON object.", "patch is not a JSON object")
	}
	return json.Marshal(mergeValue(t, p))
}

func mergeValue(target, patch any) any {
	members, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	result, ok := target.(map[string]any)
	if !ok {
		result = map[string]any{}
	}
	for name, value := range members {
		if value == nil {
			delete(result, name)
			continue
		}
		result[name] = mergeValue(result[name], value)
	}
	return result
}
