/** Requests that a cell home saw in flight on an engine that crashed. */
export interface SuspectMemory {
  readonly addSuspect: (fingerprint: string) => void;
  readonly clearSuspect: (fingerprint: string) => void;
  readonly isSuspect: (fingerprint: string) => boolean;
}
