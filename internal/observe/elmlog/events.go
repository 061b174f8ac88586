package elmlog

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Event is the number of an event type. Numbers are never reused.
type Event int

// Event numbers by group: process (10xx), configuration (11xx), platform state
// (12xx), links (13xx), requests (14xx), endpoints and groups (15xx), suspension
// (16xx), tracing (17xx) and workspaces (18xx).
const (
	Started             Event = 1001
	Stopping            Event = 1002
	Stopped             Event = 1003
	Failed              Event = 1004
	SettingsReloaded    Event = 1005
	SettingsRefused     Event = 1006
	LinesDropped        Event = 1007
	ReadinessChanged    Event = 1008
	PanicRecovered      Event = 1009
	LibraryReported     Event = 1010
	ConfigAdopted       Event = 1101
	ConfigRefused       Event = 1102
	ConfigOutdated      Event = 1103
	ConfigCurrent       Event = 1104
	StoreDown           Event = 1201
	StoreRecovered      Event = 1202
	InstanceListSuspect Event = 1203
	PeerUsed            Event = 1204
	StoreRead           Event = 1205
	StoreRestored       Event = 1206
	StateSourceChanged  Event = 1207
	InstanceUnreadable  Event = 1208
	LinkUp              Event = 1301
	LinkDown            Event = 1302
	LinkRefused         Event = 1303
	DialFailed          Event = 1304
	RequestRefused      Event = 1401
	RequestRetried      Event = 1402
	RequestAborted      Event = 1403
	CallerDisconnected  Event = 1404
	RequestFinished     Event = 1405
	RequestFailed       Event = 1406
	RequestResumed      Event = 1407
	RequestPlaced       Event = 1408
	EndpointCold        Event = 1501
	EndpointFailed      Event = 1502
	RecordFailed        Event = 1503
	EndpointListed      Event = 1511
	EndpointLeaving     Event = 1512
	EndpointRemoved     Event = 1513
	EndpointUnreadable  Event = 1514
	DatacentreWithdrawn Event = 1515
	DatacentreReturned  Event = 1516
	GroupBroken         Event = 1517
	GroupOpen           Event = 1518
	EndpointKept        Event = 1519
	PlannerChosen       Event = 1521
	MapPlanned          Event = 1522
	MapRolledOut        Event = 1523
	MapAbandoned        Event = 1524
	GroupRepaired       Event = 1525
	RanksSlow           Event = 1526
	GroupHeld           Event = 1527
	GroupStalled        Event = 1528
	CountsMissing       Event = 1529
	MapUnknown          Event = 1530
	OrderNotAccepted    Event = 1531
	EndpointBroken      Event = 1532
	GroupNotRepaired    Event = 1533
	StallBegan          Event = 1534
	StallEnded          Event = 1535
	RelayChanged        Event = 1536
	MapUrgent           Event = 1540
	LeavingAnnounced    Event = 1541
	PauseAnnounced      Event = 1542
	PauseEnded          Event = 1543
	PauseInvalid        Event = 1544
	RateLimitAnnounced  Event = 1545
	RateLimitInvalid    Event = 1546
	RateLimitEnded      Event = 1547
	EndpointCrashed     Event = 1551
	QuarantineBegan     Event = 1552
	QuarantineEnded     Event = 1553
	AdmissionLowered    Event = 1561
	AdmissionRestored   Event = 1562
	LimitLowered        Event = 1563
	LimitRestored       Event = 1564
	CallersLimited      Event = 1571
	ProcessResumed      Event = 1601
	TracesLost          Event = 1701
	CredentialRejected  Event = 1801
	ConcurrencyExceeded Event = 1802
	SharesBegan         Event = 1803
	SharesEnded         Event = 1804
)

// Entry is the catalogue entry of an event: its level, its text, and advice to
// the operator.
type Entry struct {
	Level  hclog.Level
	Text   string
	Advice string
}

const adviceNone = "None."

var catalogue = map[Event]Entry{
	Started:             {hclog.Info, "process started", adviceNone},
	Stopping:            {hclog.Info, "process is draining", adviceNone + " New work goes to other instances."},
	Stopped:             {hclog.Info, "process stopped", adviceNone},
	PanicRecovered:      {hclog.Error, "unexpected panic, the process goes on", "Report the stack. The work that is named was not done."},
	LibraryReported:     {hclog.Warn, "a library reported", "Read the text. Bytes that belong to no response come from a faulty endpoint, peer or store."},
	Failed:              {hclog.Error, "process failed", "Read the error. The platform should replace the instance."},
	ConfigAdopted:       {hclog.Info, "configuration revision in force", adviceNone},
	ConfigRefused:       {hclog.Error, "configuration revision rejected", "The process keeps its last valid revision. Apply a valid one."},
	ConfigOutdated:      {hclog.Error, "configuration in force is not the newest, which is missing or can't be read", "Write a valid configuration. Until then, credentials are refused once revocations may have been missed."},
	ConfigCurrent:       {hclog.Info, "configuration in force is the newest again", adviceNone},
	StoreDown:           {hclog.Warn, "key-value service unavailable", "Idempotent requests are still served. Keyed requests are refused until it is available again."},
	StoreRecovered:      {hclog.Info, "key-value service available again", adviceNone},
	SettingsReloaded:    {hclog.Info, "settings reloaded", adviceNone},
	SettingsRefused:     {hclog.Error, "settings rejected", "The process keeps its last valid settings. Read the error and fix the file."},
	LinesDropped:        {hclog.Warn, "log lines dropped", "None if it is rare. Otherwise speed up whatever reads the log."},
	ReadinessChanged:    {hclog.Info, "readiness changed", adviceNone},
	PeerUsed:            {hclog.Info, "platform state read from a peer", "Check the network path from this instance to the store."},
	StoreRead:           {hclog.Info, "store read in full", adviceNone},
	StoreRestored:       {hclog.Warn, "store returned from a copy, its latest writes are lost", "None in a drill. Otherwise ask the platform's operators. Check that the operator's configuration and withdrawals are written again."},
	StateSourceChanged:  {hclog.Info, "source of the platform state changed", "If the source is the store for long, check the entry that reads the store for this one."},
	InstanceUnreadable:  {hclog.Warn, "listed instance can't be read", "Find out what writes the platform's list. The other instances are used."},
	RequestFinished:     {hclog.Info, "request finished", adviceNone},
	RequestFailed:       {hclog.Info, "request failed and may have been executed", "Check its endpoint and error."},
	RequestResumed:      {hclog.Info, "stream resumed on another endpoint", adviceNone},
	RequestPlaced:       {hclog.Info, "request placed", adviceNone},
	EndpointListed:      {hclog.Info, "endpoint listed", adviceNone},
	EndpointLeaving:     {hclog.Info, "endpoint is leaving", adviceNone},
	EndpointRemoved:     {hclog.Info, "endpoint's entry removed", adviceNone},
	EndpointUnreadable:  {hclog.Warn, "endpoint's entry can't be read", "Find out who wrote the key. Until it is fixed, it lists no endpoint."},
	EndpointKept:        {hclog.Info, "endpoint's entry is missing after an outage of the store, endpoint kept", "If the store had no outage, report the line."},
	DatacentreWithdrawn: {hclog.Info, "data centre taken out of service", adviceNone},
	DatacentreReturned:  {hclog.Info, "data centre returned to service", adviceNone},
	GroupBroken:         {hclog.Warn, "group is broken", "Check the endpoint that is reported as failed."},
	GroupOpen:           {hclog.Info, "group is open", adviceNone},
	PlannerChosen:       {hclog.Info, "this entry plans the group's expert map", adviceNone},
	MapPlanned:          {hclog.Info, "expert map planned", adviceNone},
	MapUrgent:           {hclog.Info, "expert map planned for urgency, passes exceed the maximum event gap", "None if it follows a shift of the demand. If it repeats without one, the group lacks capacity."},
	MapRolledOut:        {hclog.Info, "expert map rolled out", adviceNone},
	MapAbandoned:        {hclog.Warn, "expert map rollout abandoned", "None if it is rare. Otherwise check the ranks that it waited for."},
	GroupRepaired:       {hclog.Warn, "released a group that a previous planner had held", adviceNone},
	RanksSlow:           {hclog.Info, "list of slow ranks changed", "Check the instances of the ranks that stay on it."},
	GroupHeld:           {hclog.Warn, "group is held and runs no passes", "None. The group is released. Check the planner's instance."},
	GroupStalled:        {hclog.Warn, "group has work and runs no passes", "If the group is not complete, find the rank that does not respond."},
	CountsMissing:       {hclog.Info, "rank returned no counts", "None if it is rare. Otherwise check the network link of the planner's instance."},
	MapUnknown:          {hclog.Warn, "expert map in use can't be read", "None if it is rare. Otherwise check the rank's agent."},
	OrderNotAccepted:    {hclog.Info, "rank did not accept an order", "None if it is rare. If one rank rejects the same order repeatedly, check its report."},
	EndpointBroken:      {hclog.Warn, "endpoint's group is broken, other groups of the service are not", "Check the endpoint that is reported as failed. If this persists, the endpoint belongs to no complete group."},
	StallBegan:          {hclog.Warn, "group makes no progress, new requests are refused", "None if 1535 follows. Otherwise look for 1527 and 1528 of the group's agents."},
	StallEnded:          {hclog.Info, "group makes progress again", "None."},
	RelayChanged:        {hclog.Info, "relay of this data centre's loads changed", "None if it is rare. Otherwise check the instance that is named."},
	GroupNotRepaired:    {hclog.Warn, "held group was not released", "None if 1518 or another 1525 follows. Otherwise check the ranks that hold it."},
	InstanceListSuspect: {hclog.Warn, "instance list shrank suddenly and is not trusted", "Check the platform's instance list. Until it recovers, links show which agents are alive."},
	LinkUp:              {hclog.Info, "link up", adviceNone},
	LinkDown:            {hclog.Warn, "link down", "If it stays down, check the agent's instance and the network between the two."},
	LinkRefused:         {hclog.Warn, "link refused", "Check the peer's certificate and protocol version."},
	DialFailed:          {hclog.Info, "agent unreachable", "None while it restarts. If this persists, check the agent's instance and the network between the two."},
	RequestRefused:      {hclog.Info, "request refused", "Use elmcove explain with the request's identifier."},
	RequestRetried:      {hclog.Debug, "request retried on another endpoint", adviceNone},
	RequestAborted:      {hclog.Warn, "response aborted with an explicit error", "Check the endpoint that was serving it."},
	CallerDisconnected:  {hclog.Info, "caller disconnected", adviceNone},
	EndpointCold:        {hclog.Warn, "endpoint turned cold", adviceNone + " Its load is reduced until it is warm."},
	EndpointFailed:      {hclog.Warn, "endpoint failed to serve a request", "If it recurs, drain the endpoint."},
	RecordFailed:        {hclog.Warn, "finished request could not be recorded", "Retries with its key are refused as unknown until the claim expires."},
	LeavingAnnounced:    {hclog.Info, "endpoint announced that it is leaving", adviceNone},
	PauseAnnounced:      {hclog.Info, "endpoint asked for a pause", "Check the endpoint's load if it repeats."},
	PauseEnded:          {hclog.Info, "endpoint serves again after its pause", adviceNone},
	PauseInvalid:        {hclog.Warn, "endpoint's Retry-After can't be parsed", "It counts as none. Fix the endpoint."},
	RateLimitAnnounced:  {hclog.Info, "endpoint announced a rate limit", "Check the endpoint's load if it persists."},
	RateLimitInvalid:    {hclog.Warn, "endpoint's rate limit can't be parsed", "It counts as none. Fix the endpoint."},
	RateLimitEnded:      {hclog.Info, "endpoint's rate limit ended", adviceNone},
	EndpointCrashed:     {hclog.Warn, "endpoint crashed with requests in flight", "Check the endpoint's own log. If several crashed under one signature, find its caller."},
	QuarantineBegan:     {hclog.Warn, "request or prompt segment in quarantine, since endpoints crash under it", "Find its caller by the signature. It is released ten minutes after the last request with it."},
	QuarantineEnded:     {hclog.Info, "request or prompt segment released from quarantine", adviceNone},
	AdmissionLowered:    {hclog.Info, "events are late, less urgent requests are refused", "None if 1562 follows. Otherwise compare the load with the capacity of the service."},
	AdmissionRestored:   {hclog.Info, "all requests are admitted again", adviceNone},
	LimitLowered:        {hclog.Info, "endpoint's learned limit fell below half of its start", "If it stays low, compare the endpoint's speed with that of others, and check its log for refusals."},
	LimitRestored:       {hclog.Info, "endpoint's learned limit returned to its start", adviceNone},
	CallersLimited:      {hclog.Warn, "callers hold too much memory or too many connections, some were refused or closed", "Find the callers. If they are ordinary ones, add entries or memory."},
	ProcessResumed:      {hclog.Warn, "process resumed after suspension", "Waiting keyed requests are refused as unknown. Check whether the instance was paused or short of CPU time."},
	TracesLost:          {hclog.Warn, "traces could not be exported", "Check the traces setting and the collector."},
	CredentialRejected:  {hclog.Info, "credential rejected", "Check the workspace's credential."},
	SharesBegan:         {hclog.Info, "workspaces' shares of a service bind", "None if it is rare. Otherwise add endpoints, or find the workspace that asks most."},
	SharesEnded:         {hclog.Info, "workspaces' shares of a service no longer bind", adviceNone},
	ConcurrencyExceeded: {hclog.Info, "workspace at its concurrency limit", "Raise the workspace's concurrency if this is expected."},
}

// Catalogue returns all events in order.
func Catalogue() []Event {
	return slices.Sorted(maps.Keys(catalogue))
}

// Describe returns the catalogue entry of the event.
func (e Event) Describe() Entry {
	return catalogue[e]
}
