package config

import (
	"encoding/json"
	"slices"
)

// ownKeys are those by which a door is itself: nothing that is given to all doors may name them.
var ownKeys = []string{"name", "listen", "seed", "fleet", "known"}

// Overlay lays a file that is given to many doors over a door's own: objects are merged key by key, anything else takes the
// place of what was there. A door's own keys and its number stay its own.
func Overlay(base, top []byte) ([]byte, error) {
	var under, over map[string]any
	if err := json.Unmarshal(base, &under); err != nil {
		return nil, decodeFault("", err)
	}
	if err := json.Unmarshal(top, &over); err != nil {
		return nil, &KeyError{Says: "what is laid over it can't be read", Cause: err}
	}
	for key := range over {
		if slices.Contains(ownKeys, key) {
			return nil, keyFault(key, "a door's own: it can't be laid over")
		}
	}
	if s, is := over["settings"].(map[string]any); is {
		if _, named := s["my_number"]; named {
			return nil, keyFault("settings.my_number", "a door's own: it can't be laid over")
		}
	}
	merge(under, over)
	return json.Marshal(under)
}

func merge(under, over map[string]any) {
	for key, v := range over {
		into, both := under[key].(map[string]any)
		if from, is := v.(map[string]any); is && both {
			merge(into, from)
			continue
		}
		under[key] = v
	}
}
