package journal

// DecodeEntry shows the tests what a slot holds.
var DecodeEntry = decodeEntry
