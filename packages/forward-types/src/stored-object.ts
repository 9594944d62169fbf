/** An object of the platform's store, undecoded. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the store at the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
  /** The part that the system writes on objects of others. */
  readonly status: unknown;
}
