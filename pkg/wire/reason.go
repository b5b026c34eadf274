package wire

// Reason is the reason why a frame was refused, dropped or retried, or why a
// flow was closed.
type Reason uint8

// Reasons. Each has its own counter; docs/counters.md describes what an operator
// does about it.
const (
	ReasonNone Reason = iota
	ReasonMalformed
	ReasonTooLarge
	ReasonUnknownService
	ReasonNoSettings
	ReasonBadToken
	ReasonWrongService
	ReasonTicketNeeded
	ReasonBadTicket
	ReasonTicketExpired
	ReasonOwnerGone
	ReasonTableFull
	ReasonStopping
	ReasonNoServer
	ReasonOverloaded
	ReasonColdLimit
	ReasonServerShed
	ReasonServerGone
	ReasonUnconfirmed
	ReasonDomainOut
	ReasonNotFresh
	ReasonTimeout
	ReasonDeadline
	ReasonRetryBudget
	ReasonCancelled
	ReasonLateAnswer
	ReasonForgedPeer
	ReasonUnknownFlow
	ReasonRetryTimeout
	ReasonRetryShed
	ReasonSendFailed
	ReasonServerLeft
	ReasonTokenContested
	reasonEnd
)

// ReasonCount is the number of reasons, for tables indexed by reason.
const ReasonCount = int(reasonEnd)

var reasonNames = [ReasonCount]string{
	ReasonNone:           "none",
	ReasonMalformed:      "malformed",
	ReasonTooLarge:       "tooLarge",
	ReasonUnknownService: "unknownService",
	ReasonNoSettings:     "noSettings",
	ReasonBadToken:       "badToken",
	ReasonWrongService:   "wrongService",
	ReasonTicketNeeded:   "ticketNeeded",
	ReasonBadTicket:      "badTicket",
	ReasonTicketExpired:  "ticketExpired",
	ReasonOwnerGone:      "ownerGone",
	ReasonTableFull:      "tableFull",
	ReasonStopping:       "stopping",
	ReasonNoServer:       "noServer",
	ReasonOverloaded:     "overloaded",
	ReasonColdLimit:      "coldLimit",
	ReasonServerShed:     "serverShed",
	ReasonServerGone:     "serverGone",
	ReasonUnconfirmed:    "unconfirmed",
	ReasonDomainOut:      "domainOut",
	ReasonNotFresh:       "notFresh",
	ReasonTimeout:        "timeout",
	ReasonDeadline:       "deadline",
	ReasonRetryBudget:    "retryBudget",
	ReasonCancelled:      "cancelled",
	ReasonLateAnswer:     "lateAnswer",
	ReasonForgedPeer:     "forgedPeer",
	ReasonUnknownFlow:    "unknownFlow",
	ReasonRetryTimeout:   "retryTimeout",
	ReasonRetryShed:      "retryShed",
	ReasonSendFailed:     "sendFailed",
	ReasonServerLeft:     "serverLeft",
	ReasonTokenContested: "tokenContested",
}

// String returns the name of the reason as used in counters and reports.
func (r Reason) String() string {
	if int(r) >= ReasonCount {
		return "invalid"
	}
	return reasonNames[r]
}
