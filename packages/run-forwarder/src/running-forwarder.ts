/** A running forwarding host. */
export interface RunningForwarder {
  /** Logs and counts an unhandled error of this process, which keeps running. `kind` is the label of the metric. */
  readonly recordUnhandledError: (kind: string, error: unknown) => void;
  /** Fails the readiness check, waits for calls in flight and resolves within the grace period. */
  readonly stop: () => Promise<void>;
}
