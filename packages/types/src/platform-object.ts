/** An object of the platform's object API. */
export interface PlatformObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Increases with each change of the object. As the condition of a write, 0 requires that the object does not exist. */
  readonly version: number;
  readonly value: T;
}
