// Package quarantine finds parts of prompts that end the upstreams that answer them, and
// keeps requests with such a part from further upstreams. Such a request is known as a
// query of death: each retry ends one more upstream, with all other requests there.
//
// The evidence is the end of an upstream while a request was in flight there, whether or
// not a part of the answer had been received. Each part of its prompt may be the cause. A
// part is cleared when one upstream writes a whole answer to it, or survives an answer for
// much longer than those that ended. The part that is in the most ends is accused, and
// explains these ends for all others. VMs share ends and answers, and each decides by
// itself.
//
// The package needs neither clock nor network. A Tracker is safe for concurrent use.
package quarantine
