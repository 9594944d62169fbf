/** A change that a watch reports; a null value means that the object was deleted. */
export interface PlatformEvent {
  readonly name: string;
  readonly version: number;
  readonly value: unknown;
}
