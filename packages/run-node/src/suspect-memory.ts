/** The fingerprints of requests that a cell home saw in flight on a crashed engine. */
export interface SuspectMemory {
  readonly addSuspect: (fingerprint: string) => void;
  readonly clearSuspect: (fingerprint: string) => void;
  readonly isSuspect: (fingerprint: string) => boolean;
}
