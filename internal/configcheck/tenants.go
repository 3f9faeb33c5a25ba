package configcheck

import "strings"

// minUsualCPU is the bound of a tenant's CPU, in thousandths of a core, below which the unit is probably mistaken.
const minUsualCPU = 1000

// keyPlace is where a key stands first.
type keyPlace struct{ tenant, key int }

// checkTenants checks the tenants and their keys. A key is named by its position only.
func (f *findings) checkTenants(tenants []Tenant) {
	names := nameSet{}
	places := map[string]keyPlace{}
	for i, t := range tenants {
		subject := Subject("tenant", i, t.Name)
		f.checkName(names, subject, t.Name, i)
		switch {
		case t.Weight < 0:
			f.errorf(subject, FieldWeight, "must not be negative, is %v", t.Weight)
		case t.Weight == 0:
			f.warnf(subject, FieldWeight, "is 0 or missing and counts as 1")
		}
		f.checkCap(subject, t.Cap)
		if len(t.Keys) == 0 {
			f.warnf(subject, FieldKeys, "has no key, so no call can come from it")
		}
		for k, key := range t.Keys {
			f.checkKey(subject, k, key)
			if key.value == "" {
				continue
			}
			place, doubled := places[key.value]
			switch {
			case !doubled:
				places[key.value] = keyPlace{i, k}
			case place.tenant == i:
				f.errorf(subject, FieldKeys, "key %d is the same as key %d", k+1, place.key+1)
			default:
				f.errorf(subject, FieldKeys, "key %d is also key %d of %s, to whom its calls are assigned", k+1, place.key+1, Subject("tenant", place.tenant, tenants[place.tenant].Name))
			}
		}
	}
}

// checkKey checks that callers can send a key.
func (f *findings) checkKey(subject string, index int, key Key) {
	switch {
	case key.value == "":
		f.errorf(subject, FieldKeys, "key %d is empty", index+1)
	case strings.TrimSpace(key.value) != key.value:
		f.errorf(subject, FieldKeys, "key %d can never match: it begins or ends with a space", index+1)
	case strings.ContainsFunc(key.value, isControl):
		f.errorf(subject, FieldKeys, "key %d can never match: it contains a control character", index+1)
	}
}

// isControl reports whether a header cannot carry the character.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// checkCap checks the bounds of a tenant.
func (f *findings) checkCap(subject string, c Resources) {
	for _, resource := range []struct {
		field Field
		bound int64
	}{{FieldCapCPU, c.CPU}, {FieldCapMemory, c.MemoryMB}, {FieldCapAccelerator, c.GPU}} {
		if resource.bound < 0 {
			f.errorf(subject, resource.field, "must not be negative, is %d; 0 is no bound", resource.bound)
		}
	}
	if c.CPU > 0 && c.CPU < minUsualCPU {
		f.warnf(subject, FieldCapCPU, "is %d thousandths of a core, less than one core; is the unit right?", c.CPU)
	}
}
