package events

import "go.uber.org/zap"

// Event is one kind of log entry.
type Event struct {
	// Number is unique and never reused.
	Number int
	// Name is the name of the event in camel case.
	Name string
	// Level is the zap level of the entry.
	Level Level
}

// Level is the severity of an event.
type Level string

// Levels of events.
const (
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Events, in the order of their numbers.
var (
	Started              = Event{100, "started", Info}
	Ready                = Event{101, "ready", Info}
	DrainStarted         = Event{102, "drainStarted", Info}
	Stopped              = Event{103, "stopped", Info}
	SecondSignal         = Event{104, "secondSignal", Warn}
	DrainOverdue         = Event{105, "drainOverdue", Error}
	ListenerClosed       = Event{106, "listenerClosed", Info}
	ConfigurationTaken   = Event{200, "configurationTaken", Info}
	ConfigurationRefused = Event{201, "configurationRefused", Error}
	ConfigurationOlder   = Event{202, "configurationOlder", Warn}
	PlatformUnavailable  = Event{203, "platformUnavailable", Warn}
	PlatformBack         = Event{204, "platformBack", Info}
	ConfigurationByPeer  = Event{205, "configurationByPeer", Info}
	ListTaken            = Event{206, "listTaken", Info}
	CutOff               = Event{207, "cutOff", Error}
	CutOffEnded          = Event{208, "cutOffEnded", Info}
	PeerUnreachable      = Event{300, "peerUnreachable", Warn}
	PeerQueueFull        = Event{301, "peerQueueFull", Warn}
	TargetCold           = Event{400, "targetCold", Info}
	TargetWarm           = Event{401, "targetWarm", Info}
	TargetLost           = Event{402, "targetLost", Warn}
	TargetBroke          = Event{403, "targetBrokeContract", Error}
	RequestSuspect       = Event{500, "requestSuspect", Warn}
	RequestRefused       = Event{501, "requestQuarantined", Error}
	BookingUnknown       = Event{600, "bookingUnknown", Warn}
	ListenerFailed       = Event{700, "listenerFailed", Error}

	RequestEnded      = Event{800, "requestEnded", Info}
	PartsEnded        = Event{801, "partsEnded", Info}
	HolderSilent      = Event{802, "holderSilent", Warn}
	PartsRefused      = Event{803, "partsRefused", Info}
	StoreLost         = Event{810, "storeLost", Warn}
	StoreRegained     = Event{811, "storeRegained", Info}
	StoreRead         = Event{812, "storeRead", Info}
	CopyTaken         = Event{813, "copyTaken", Info}
	CopyFailed        = Event{814, "copyFailed", Warn}
	EntryForeign      = Event{815, "entryForeign", Warn}
	OrdersTaken       = Event{816, "ordersTaken", Info}
	StoreRestored     = Event{817, "storeRestored", Warn}
	ConfigurationRead = Event{818, "configurationRead", Info}
	TargetPublished   = Event{820, "targetPublished", Info}
	TargetWithdrawn   = Event{821, "targetWithdrawn", Info}
	TargetDown        = Event{822, "targetDown", Warn}
	RequestCrashes    = Event{824, "requestCrashes", Error}
	AnswerOverlong    = Event{825, "answerOverlong", Warn}
	TargetLimited     = Event{826, "targetLimited", Info}
	TargetUnlimited   = Event{827, "targetUnlimited", Info}
	LimitUnreadable   = Event{828, "limitUnreadable", Warn}
	LimitedSends      = Event{829, "limitedSends", Info}
	DatagramFailed    = Event{830, "datagramFailed", Warn}
	DatagramOdd       = Event{831, "datagramOdd", Warn}
	MembersChanged    = Event{832, "membersChanged", Info}
	TargetLeaving     = Event{833, "targetLeaving", Info}
	TargetHoldsOff    = Event{834, "targetHoldsOff", Info}
	TargetUsedAgain   = Event{835, "targetUsedAgain", Info}
	HoldUnreadable    = Event{836, "holdUnreadable", Warn}
	CallBroken        = Event{837, "callBroken", Warn}
	SuspicionCleared  = Event{838, "suspicionCleared", Info}
	LossesDropped     = Event{839, "lossesDropped", Warn}
	ClockSuspended    = Event{840, "clockSuspended", Warn}
	RequestOnTrial    = Event{841, "requestOnTrial", Warn}
	QuotaRefused      = Event{843, "quotaRefused", Info}
	CallsQueued       = Event{846, "callsQueued", Info}
	SettingsReloaded  = Event{850, "settingsReloaded", Info}
	SettingsRefused   = Event{851, "settingsRefused", Error}
	LogLinesDropped   = Event{860, "logLinesDropped", Warn}
	InterfaceFailed   = Event{870, "interfaceFailed", Warn}
	WorkPanicked      = Event{880, "workPanicked", Error}
	CallerRefused     = Event{900, "callerRefused", Warn}
)

// All lists every event in the order of the numbers.
func All() []Event {
	return []Event{
		Started, Ready, DrainStarted, Stopped, SecondSignal, DrainOverdue, ListenerClosed,
		ConfigurationTaken, ConfigurationRefused, ConfigurationOlder, PlatformUnavailable,
		PlatformBack, ConfigurationByPeer, ListTaken, CutOff, CutOffEnded,
		PeerUnreachable, PeerQueueFull, TargetCold, TargetWarm, TargetLost, TargetBroke,
		RequestSuspect, RequestRefused, BookingUnknown, ListenerFailed,
		RequestEnded, PartsEnded, HolderSilent, PartsRefused, StoreLost, StoreRegained, StoreRead, CopyTaken, CopyFailed, EntryForeign, OrdersTaken, StoreRestored, ConfigurationRead,
		TargetPublished, TargetWithdrawn, TargetDown, RequestCrashes, AnswerOverlong, TargetLimited, TargetUnlimited, LimitUnreadable, LimitedSends,
		DatagramFailed, DatagramOdd, MembersChanged, TargetLeaving, TargetHoldsOff, TargetUsedAgain, HoldUnreadable, CallBroken, SuspicionCleared, LossesDropped, ClockSuspended, RequestOnTrial, QuotaRefused, CallsQueued, SettingsReloaded, SettingsRefused,
		LogLinesDropped, InterfaceFailed, WorkPanicked, CallerRefused,
	}
}

// Log writes one entry for the event; a nil logger writes nothing.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	if l == nil {
		return
	}
	fields = append([]zap.Field{zap.Int("event", e.Number)}, fields...)
	switch e.Level {
	case Error:
		l.Error(e.Name, fields...)
	case Warn:
		l.Warn(e.Name, fields...)
	default:
		l.Info(e.Name, fields...)
	}
}
