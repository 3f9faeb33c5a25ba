package ledger

import "github.com/fxamacker/cbor/v2"

// EncodeRecords returns the CBOR form of a batch of records.
func EncodeRecords(records []Record) ([]byte, error) { return encoding.Marshal(records) }

// DecodeRecords returns the records of a batch that EncodeRecords encoded.
func DecodeRecords(data []byte) ([]Record, error) {
	var records []Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, err
	}
	for i := range records {
		records[i].normalise()
	}
	return records, nil
}
