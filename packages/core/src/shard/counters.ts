/**
 * Counters and gauges of the shard decisions with their help texts. They stand in lists because docs/METRICS.md is checked against
 * them.
 */
export const SHARD_COUNTERS = {
  'shard.jobs.received': 'Jobs that callers sent to this instance.',
  'shard.jobs.completed': 'Jobs answered as completed.',
  'shard.jobs.failed': 'Jobs answered as failed after the allowed attempts.',
  'shard.jobs.refused': 'Jobs refused; nothing of them has run.',
  'shard.jobs.lost': 'Jobs given up with an unknown outcome; the caller may send them again.',
  'shard.jobs.crashing': 'Jobs given up because a task of theirs crashes the endpoints that start it.',
  'shard.jobs.joined': 'Submissions joined to a job that was already known.',
  'shard.jobs.outdated': 'Copies of jobs that an owner did not take, since their fronts may have given them up.',
  'shard.jobs.declined': 'Jobs that an owner turned away before any start.',
  'shard.jobs.shed': 'Admitted jobs that an owner turned away before any start, since they could not be on time or a dearer one was in their place.',
  'shard.tasks.started': 'Start orders sent to endpoints, repeats included.',
  'shard.tasks.startSilent': 'Start orders without an answer in time.',
  'shard.tasks.startRejected': 'Start orders that an endpoint rejected.',
  'shard.tasks.done': 'Runs that ended done.',
  'shard.tasks.failed': 'Runs that ended failed.',
  'shard.tasks.stopped': 'Stop orders sent, repeats included.',
  'shard.tasks.moved': 'Runs stopped because they made too little progress.',
  'shard.tasks.lost': 'Runs that were lost, nearly all with their endpoint.',
  'shard.tasks.adopted': 'Runs of an earlier owner that went on under this one.',
  'shard.tasks.unclaimed': 'Runs of an earlier owner that nobody claimed and that were stopped.',
  'shard.holds.sent': 'Holds and looks sent to endpoints, without those that ask on a new connection which incarnation answers.',
  'shard.holds.silent': 'Holds and looks without an answer in time.',
  'shard.room.waitedCoreMs': 'Core milliseconds of trusted endpoints while tasks waited.',
  'shard.room.strandedCoreMs': 'Core milliseconds of them that stayed free though waiting tasks would have fitted if the free room had been at fewer endpoints.',
  'shard.endpoints.crashed': 'Endpoints that refused connections while tasks ran there.',
  'shard.endpoints.reborn': 'Endpoints that started again under the same id.',
  'shard.endpoints.setAside': 'Endpoints set aside for slowness or failures.',
  'shard.owner.claims': 'Claims on a shard written or tried.',
  'shard.owner.takeovers': 'Shards taken over.',
  'shard.owner.superseded': 'Shards lost to a newer owner.',
  'shard.peers.lost': 'Peers that fell silent or refused connections.',
  'shard.store.unreadable': 'Entries of the store that could not be used and were left out, counted at each reading.',
  'shard.evacuations.learned': 'Evacuations of failure domains that this instance learned of.',
  'shard.evacuations.ended': 'Evacuated failure domains that were taken back.',
  'shard.evacuations.unknownDomains': 'Evacuations of failure domains that do not exist, as far as is known here.',
  'shard.jobs.released': 'Jobs of which tasks had run that left an evacuated failure domain, to go on in another one.',
  'shard.connections.tooMany': 'Connections closed because there were more than the budget of their kind allows.',
  'shard.connections.memory': 'Connections and calls closed because all of their kind held more bytes than its budget.',
  'shard.connections.stalled': 'Connections closed because a request or message arrived too slowly, or a peer had sent none.',
  'shard.connections.unread': 'Connections closed because the other side did not read its answers.',
  'shard.connections.tooLarge': 'Requests refused and calls given up because a body or an answer was larger than the limit.',
  'shard.pauses': 'Times this process stood still for longer than the limit.'
} as const

/** Gauges; each is 0 until it is set. */
export const SHARD_GAUGES = {
  'shard.evacuatedDomains': 'Failure domains that get no new work.',
  'shard.evacuation.lastStartMs': 'Time from the latest evacuation that this instance learned of to the last start that it sent to an evacuated domain; 0 without one.',
  'shard.connections.callers': 'Connections of callers that are open.',
  'shard.connections.callerBytes': 'Bytes held for requests of callers.',
  'shard.connections.peers': 'Connections that peers have opened.',
  'shard.connections.peerBytes': 'Bytes held for messages of peers that are not complete.',
  'shard.connections.answerBytes': 'Bytes held for answers of endpoints and of the store that are not complete.'
} as const

/** Name of a gauge. */
export type ShardGaugeName = keyof typeof SHARD_GAUGES

/** Name of a counter. */
export type ShardCounterName = keyof typeof SHARD_COUNTERS
