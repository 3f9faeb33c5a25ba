package configcheck

import "time"

const (
	// maxValueBytes is the largest value of the store, in bytes, which bounds the job that an instance can write.
	maxValueBytes = 1 << 20
	// defaultMaxBodyBytes holds where no bound of a body is stated.
	defaultMaxBodyBytes = 1 << 20
	// instanceHeaderBytes, instanceHeaderTimeout and instanceIdleTimeout are what instances grant every call, whatever
	// the document says.
	instanceHeaderBytes   = 64 << 10
	instanceHeaderTimeout = 5 * time.Second
	instanceIdleTimeout   = time.Minute
)

// checkLimits checks the limits of calls.
func (f *findings) checkLimits(l Limits) {
	const subject = "limits"
	switch {
	case l.MaxBodyBytes < 0:
		f.errorf(subject, FieldMaxBody, "must not be negative, is %d", l.MaxBodyBytes)
	case l.MaxBodyBytes == 0:
		f.warnf(subject, FieldMaxBody, "is 0 or missing, so %d holds", defaultMaxBodyBytes)
	case l.MaxBodyBytes > maxValueBytes:
		f.warnf(subject, FieldMaxBody, "is %d, but the store takes no value above %d, so larger jobs cannot be accepted", l.MaxBodyBytes, maxValueBytes)
	}
	switch {
	case l.MaxHeaderBytes < 0:
		f.errorf(subject, FieldMaxHeader, "must not be negative, is %d", l.MaxHeaderBytes)
	case l.MaxHeaderBytes > instanceHeaderBytes:
		f.warnf(subject, FieldMaxHeader, "is %d, but instances read %d at most", l.MaxHeaderBytes, instanceHeaderBytes)
	}
	f.checkTimeout(subject, FieldHeaderTimeout, l.HeaderTimeout, instanceHeaderTimeout)
	f.checkTimeout(subject, FieldIdleTimeout, l.IdleTimeout, instanceIdleTimeout)
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		f.warnf(subject, FieldHeaderTimeout, "is %v, above the %v after which an idle connection is closed", l.HeaderTimeout, l.IdleTimeout)
	}
}

// checkTimeout checks a timeout that instances bound by their own.
func (f *findings) checkTimeout(subject string, field Field, stated, own time.Duration) {
	switch {
	case stated < 0:
		f.errorf(subject, field, "must not be negative, is %v", stated)
	case stated > own:
		f.warnf(subject, field, "is %v, but instances wait %v at most", stated, own)
	}
}
