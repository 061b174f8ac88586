package elmlog

import (
	"maps"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// Event is the number of a kind of event. Numbers are never used again.
type Event int

// Events of all processes.
const (
	Started             Event = 1001
	Stopping            Event = 1002
	Stopped             Event = 1003
	Failed              Event = 1004
	SettingsReloaded    Event = 1005
	SettingsRefused     Event = 1006
	LinesDropped        Event = 1007
	ReadinessChanged    Event = 1008
	ConfigAdopted       Event = 1101
	ConfigRefused       Event = 1102
	StoreDown           Event = 1201
	StoreBack           Event = 1202
	RosterSuspect       Event = 1203
	NeighbourUsed       Event = 1204
	StoreRead           Event = 1205
	LinkUp              Event = 1301
	LinkDown            Event = 1302
	LinkRefused         Event = 1303
	DialFailed          Event = 1304
	RequestRefused      Event = 1401
	RequestRetried      Event = 1402
	RequestAborted      Event = 1403
	RequestAbandoned    Event = 1404
	RequestFinished     Event = 1405
	RequestFailed       Event = 1406
	RequestResumed      Event = 1407
	RequestPlaced       Event = 1408
	EndpointCold        Event = 1501
	EndpointFailed      Event = 1502
	RecordFailed        Event = 1503
	EndpointListed      Event = 1511
	EndpointLeaving     Event = 1512
	EndpointGone        Event = 1513
	EndpointUnreadable  Event = 1514
	DatacentreWithdrawn Event = 1515
	DatacentreReturned  Event = 1516
	GroupBroken         Event = 1517
	GroupOpen           Event = 1518
	PlannerChosen       Event = 1521
	MapPlanned          Event = 1522
	MapChanged          Event = 1523
	MapAbandoned        Event = 1524
	GroupRepaired       Event = 1525
	RanksSlow           Event = 1526
	GroupHeld           Event = 1527
	GroupStalled        Event = 1528
	CountsMissing       Event = 1529
	MapUnknown          Event = 1530
	OrderNotAccepted    Event = 1531
	EndpointBroken      Event = 1532
	ProcessThawed       Event = 1601
	TracesLost          Event = 1701
	CredentialRejected  Event = 1801
	ConcurrencyExceeded Event = 1802
)

// Entry describes an event in the catalogue.
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
	Failed:              {hclog.Error, "process failed", "Read the error. The platform should replace the instance."},
	ConfigAdopted:       {hclog.Info, "configuration revision in force", adviceNone},
	ConfigRefused:       {hclog.Error, "configuration revision can't be used", "The process keeps its last good revision. Apply a valid one."},
	StoreDown:           {hclog.Warn, "key-value service unavailable", "Repeatable requests are still served. Keyed requests are refused until it is back."},
	StoreBack:           {hclog.Info, "key-value service is back", adviceNone},
	SettingsReloaded:    {hclog.Info, "settings reloaded", adviceNone},
	SettingsRefused:     {hclog.Error, "settings can't be used", "The process keeps its last good settings. Read the error and mend the file."},
	LinesDropped:        {hclog.Warn, "log lines left out", "None if it is rare. Otherwise read the log faster."},
	ReadinessChanged:    {hclog.Info, "readiness changed", adviceNone},
	NeighbourUsed:       {hclog.Info, "platform's state taken from a neighbour", "Check the path from this instance to the store."},
	StoreRead:           {hclog.Info, "store read in full", adviceNone},
	RequestFinished:     {hclog.Info, "request finished", adviceNone},
	RequestFailed:       {hclog.Info, "request failed and may have run", "Follow its endpoint and error."},
	RequestResumed:      {hclog.Info, "stream resumed elsewhere", adviceNone},
	RequestPlaced:       {hclog.Info, "request placed", adviceNone},
	EndpointListed:      {hclog.Info, "endpoint listed", adviceNone},
	EndpointLeaving:     {hclog.Info, "endpoint is leaving", adviceNone},
	EndpointGone:        {hclog.Info, "endpoint's entry removed", adviceNone},
	EndpointUnreadable:  {hclog.Warn, "endpoint's entry can't be read", "Find who wrote the key. It names no endpoint."},
	DatacentreWithdrawn: {hclog.Info, "data centre withdrawn", adviceNone},
	DatacentreReturned:  {hclog.Info, "data centre taken back", adviceNone},
	GroupBroken:         {hclog.Warn, "group is broken", "Find the endpoint that is blamed."},
	GroupOpen:           {hclog.Info, "group is open", adviceNone},
	PlannerChosen:       {hclog.Info, "this entry plans the group's expert map", adviceNone},
	MapPlanned:          {hclog.Info, "expert map planned", adviceNone},
	MapChanged:          {hclog.Info, "expert map changes", adviceNone},
	MapAbandoned:        {hclog.Warn, "change of the expert map given up", "None if it is rare. Otherwise look at the ranks that it waited for."},
	GroupRepaired:       {hclog.Warn, "group released that an earlier planner had held", adviceNone},
	RanksSlow:           {hclog.Info, "list of slow ranks changed", "Look at the instances of the ranks that stay on it."},
	GroupHeld:           {hclog.Warn, "group is held and makes no passes", "None. It is released. Look at the instance of the planner."},
	GroupStalled:        {hclog.Warn, "group has work and makes no passes", "If it is not complete, find the rank that does not answer."},
	CountsMissing:       {hclog.Info, "rank gave no counts", "None if it is rare. Otherwise look at the link of the planner's instance."},
	MapUnknown:          {hclog.Warn, "expert map in use can't be read", "None if it is rare. Otherwise look at the agent of the rank."},
	OrderNotAccepted:    {hclog.Info, "rank did not accept an order", "None if it is rare. If one rank rejects the same order again and again, look at its report."},
	EndpointBroken:      {hclog.Warn, "endpoint's group is broken, others of the service are not", "Find the endpoint that is blamed. If it stays, the endpoint belongs to no complete group."},
	RosterSuspect:       {hclog.Warn, "instance list shrank suddenly and is not believed", "Check the platform's instance list. Links decide until it recovers."},
	LinkUp:              {hclog.Info, "link up", adviceNone},
	LinkDown:            {hclog.Warn, "link down", "If it stays down, check the agent's instance and the network between the two."},
	LinkRefused:         {hclog.Warn, "link refused", "Check the peer's certificate and protocol version."},
	DialFailed:          {hclog.Info, "agent can't be reached", "None while it restarts. If it stays so, check the agent's instance and the network between the two."},
	RequestRefused:      {hclog.Info, "request refused", "Use elmcove explain with the request's identifier."},
	RequestRetried:      {hclog.Debug, "request sent elsewhere", adviceNone},
	RequestAborted:      {hclog.Warn, "answer broken off with an explicit error", "Check the endpoint that was serving it."},
	RequestAbandoned:    {hclog.Info, "caller left", adviceNone},
	EndpointCold:        {hclog.Warn, "endpoint turned cold", adviceNone + " Its load is reduced until it is warm."},
	EndpointFailed:      {hclog.Warn, "endpoint failed a request", "If it repeats, drain the endpoint."},
	RecordFailed:        {hclog.Warn, "finished request could not be recorded", "Its key answers unknown until the claim expires."},
	ProcessThawed:       {hclog.Warn, "process was suspended", "Waiting keyed requests are refused as unknown. Look for a paused or starved instance."},
	TracesLost:          {hclog.Warn, "traces could not be exported", "Check the traces setting and the collector."},
	CredentialRejected:  {hclog.Info, "credential rejected", "Check the workspace's credential."},
	ConcurrencyExceeded: {hclog.Info, "workspace at its concurrency limit", "Raise the workspace's concurrency if this is expected."},
}

// Catalogue returns all events in order.
func Catalogue() []Event {
	return slices.Sorted(maps.Keys(catalogue))
}

// Describe returns the catalogue's entry for an event.
func (e Event) Describe() Entry {
	return catalogue[e]
}
