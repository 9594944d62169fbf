/** Why an entry is refused, and the delay in milliseconds after which a retry would be accepted if nothing else arrives. */
export interface AdmissionRefusal {
  readonly requestId: string;
  readonly code: 'deadline_unreachable' | 'overloaded';
  readonly retryAfterMs: number;
}
