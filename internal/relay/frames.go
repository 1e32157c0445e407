package relay

import "github.com/pepperhatch/pepperhatch/internal/jsonlist"

// maxFrameBytes bounds a frame in bytes: the most orders that wait, with payloads.
const maxFrameBytes = 16 << 20

// orderList has the orders of a frame, as many as wait at most.
type orderList []order

// UnmarshalJSON implements json.Unmarshaler.
func (ol *orderList) UnmarshalJSON(data []byte) error {
	list, err := jsonlist.Decode[order](data, maxOutboxItems)
	*ol = list
	return err
}
