// Package fleet carries the decisions of members over a real network, by hashicorp/memberlist and its Transport.
package fleet

import _ "github.com/hashicorp/memberlist"
