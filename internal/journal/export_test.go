package journal

// DecodeEntry gives the external tests access to decodeEntry.
var DecodeEntry = decodeEntry
