/** Why an entry cannot wait, and when a retry would be accepted if nothing else arrives. */
export interface AdmissionRefusal {
  readonly requestId: string;
  readonly code: 'deadline_unreachable' | 'overloaded';
  readonly retryAfterMs: number;
}
