/**
 * State of the speed decision: the speeds that runs showed, by endpoint and by label. Endpoints of one kind share a label, so a new
 * endpoint of a known kind has a figure before it has run anything.
 */
import type { EndpointId } from '@cranberryyard/protocol'
import type { RatedEndpoint, SpeedEvidence } from './types.js'

/** Runs that the evidence of an endpoint counts for at most; it follows a change of its speed within about as many runs. */
const ENDPOINT_RUNS_MAX = 40
const LABEL_RUNS_MAX = 400
const NO_EVIDENCE: SpeedEvidence = { runs: 0, mean: 0, variance: 0 }

/** Evidence of an endpoint as long as it has the same labels; after a restart under its id it may be of another kind. */
interface EndpointEvidence extends SpeedEvidence {
  readonly labels: readonly string[]
}

/** Evidence by endpoint and by label. */
export class SpeedsDb {
  private readonly endpoints = new Map<EndpointId, EndpointEvidence>()
  private readonly labels = new Map<string, SpeedEvidence>()
  /** Counts the recorded runs, so that what is derived from them can be kept for a while. */
  recorded = 0

  /** Records the logarithm of the speed that a run showed. */
  record (endpoint: RatedEndpoint, logSpeed: number): void {
    const { id, labels } = endpoint
    this.recorded++
    const own = this.ofEndpoint(endpoint) ?? { ...NO_EVIDENCE, labels }
    this.endpoints.set(id, own)
    add(own, logSpeed, ENDPOINT_RUNS_MAX)
    for (const label of labels) {
      const ofLabel = this.labels.get(label) ?? { ...NO_EVIDENCE }
      this.labels.set(label, ofLabel)
      add(ofLabel, logSpeed, LABEL_RUNS_MAX)
    }
  }

  ofEndpoint ({ id, labels }: RatedEndpoint): EndpointEvidence | undefined {
    const known = this.endpoints.get(id)
    return known !== undefined && sameLabels(known.labels, labels) ? known : undefined
  }

  ofLabel (label: string): SpeedEvidence | undefined {
    return this.labels.get(label)
  }

  /** Forgets an endpoint; its next incarnation may be of another kind. */
  forget (id: EndpointId): void {
    this.endpoints.delete(id)
  }
}

function sameLabels (a: readonly string[], b: readonly string[]): boolean {
  return a === b || (a.length === b.length && a.every((label, i) => label === b[i]))
}

function add (evidence: SpeedEvidence, logSpeed: number, runsMax: number): void {
  evidence.runs = Math.min(runsMax, evidence.runs + 1)
  const weight = 1 / evidence.runs
  const deviation = logSpeed - evidence.mean
  evidence.mean += weight * deviation
  evidence.variance = (1 - weight) * (evidence.variance + weight * deviation * deviation)
}
