/** A running forwarding host. */
export interface RunningForwarder {
  /** Takes the host out of rotation, lets calls finish and resolves within the grace time. */
  readonly stop: () => Promise<void>;
}
