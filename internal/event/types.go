package event

// Types returns one zero value of every event that comes from outside the reducer, for decoding a recorded run.
// Raised events are not among them: they follow from the others. It may be called concurrently.
func Types() []Event {
	return []Event{
		Tick{},
		StopAsked{},
		StatusAsked{},
		ObjectDone{},
		ObjectsDone{},
		EndpointsDone{},
		PeerUp{},
		PeerDown{},
		PeerReceived{},
		AskDuty{},
		RequestArrived{},
		AuthoriseCall{},
		WallClock{},
		UsageSent{},
		OrderSent{},
		CallerGone{},
		AttemptConnected{},
		AttemptHead{},
		AttemptDone{},
		EndpointPolled{},
		ListenerClosed{},
		LotPacked{},
		GroupScored{},
		BlockLeft{},
		BlockRead{},
		EngineSwapped{},
		EngineRead{},
	}
}

// RaisedTypes returns one zero value of every event that only the parts raise. It may be called concurrently.
func RaisedTypes() []Event {
	return []Event{
		HostsChanged{},
		BeatSeen{},
		HostLost{},
		AskDone{},
		DutyAsked{},
		AnswerDuty{},
		WantDuties{},
		DutyGained{},
		DutyLost{},
		WriteLedger{},
		LedgerWritten{},
		ReleaseDuty{},
		ConfigInForce{},
		KeysInForce{},
		EndpointsListed{},
		ObjectSeen{},
		RequestDone{},
		CancelRequest{},
		DemandSeen{},
		EndpointLeaving{},
		Drained{},
		DrainBegun{},
		DrainEnded{},
		DrainEndpoint{},
		SampleSent{},
		VersionPublished{},
	}
}
