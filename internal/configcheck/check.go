package configcheck

// Check returns what is wrong or odd in a configuration, in the order of its entries.
func Check(d Document) []Finding {
	var f findings
	if d.Version < 1 {
		f.errorf("", FieldVersion, "must be 1 or more, is %d; instances take 0 for no configuration", d.Version)
	}
	f.checkRoutes(d)
	f.checkServices(d)
	f.checkLimits(d.Limits)
	f.checkTenants(d.Tenants)
	f.checkAccess(d)
	return f
}

// checkServices checks the services and whether each is used.
func (f *findings) checkServices(d Document) {
	used := map[string]bool{}
	for _, r := range d.Routes {
		used[r.Service] = true
	}
	names := nameSet{}
	for i, s := range d.Services {
		subject := Subject("service", i, s.Name)
		f.checkName(names, subject, s.Name, i)
		if s.MaxConns < 0 {
			f.errorf(subject, FieldMaxConns, "must not be negative, is %d", s.MaxConns)
		}
		if s.Name != "" && !used[s.Name] {
			f.warnf(subject, FieldNone, "no route uses it")
		}
	}
}

// checkAccess checks the routes that need no key against the tenants.
func (f *findings) checkAccess(d Document) {
	public, stated := 0, 0
	for _, r := range d.Routes {
		if r.Public {
			public++
		}
		if r.PublicStated {
			stated++
		}
	}
	switch {
	case len(d.Tenants) == 0 && stated > 0 && public < len(d.Routes):
		f.warnf("", FieldNone, "there are no tenants, so no call needs a key, also on the routes that are not public")
	case len(d.Tenants) > 0 && len(d.Routes) > 0 && public == len(d.Routes):
		f.warnf("", FieldNone, "all routes are public, so no call needs the key of a tenant")
	}
}

// nameSet holds the position at which a name stands first.
type nameSet map[string]int

// checkName checks that an entry has a name that no earlier one has.
func (f *findings) checkName(names nameSet, subject, name string, index int) {
	if name == "" {
		f.errorf(subject, FieldName, "is missing")
		return
	}
	if first, doubled := names[name]; doubled {
		f.errorf(subject, FieldName, "entry %d has the same name", first+1)
		return
	}
	names[name] = index
}
