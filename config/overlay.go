package config

import (
	"encoding/json"
	"slices"
)

// perDoorKeys are the keys that identify a door. A file shared by several doors must not set them.
var perDoorKeys = []string{"name", "listen", "seed", "fleet", "known"}

// Overlay merges a configuration file shared by many doors over a door's own file. Objects are merged key by key, any other
// value replaces the one in base. A door's own keys and its number cannot be overridden.
func Overlay(base, top []byte) ([]byte, error) {
	var under, over map[string]any
	if err := json.Unmarshal(base, &under); err != nil {
		return nil, decodeError("", err)
	}
	if err := json.Unmarshal(top, &over); err != nil {
		return nil, &KeyError{Reason: "the overlay cannot be read", Cause: err}
	}
	for key := range over {
		if slices.Contains(perDoorKeys, key) {
			return nil, keyErrorf(key, "specific to each door: an overlay cannot set it")
		}
	}
	if s, ok := over["settings"].(map[string]any); ok {
		if _, named := s["my_number"]; named {
			return nil, keyErrorf("settings.my_number", "specific to each door: an overlay cannot set it")
		}
	}
	merge(under, over)
	return json.Marshal(under)
}

// merge copies over into under, merging nested objects recursively.
func merge(under, over map[string]any) {
	for key, v := range over {
		into, both := under[key].(map[string]any)
		if from, ok := v.(map[string]any); ok && both {
			merge(into, from)
			continue
		}
		under[key] = v
	}
}
