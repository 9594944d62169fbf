/** A value of the platform's object API with its version. */
export interface PlatformObject<T = unknown> {
  readonly kind: string;
  readonly name: string;
  /** Rises with each change of this object; 0 stands for an absent object in conditions. */
  readonly version: number;
  readonly value: T;
}
