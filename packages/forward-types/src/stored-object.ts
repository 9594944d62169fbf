/** An object of the platform's store, not yet decoded. */
export interface StoredObject {
  readonly name: string;
  /** Revision of the store at the object's last change. */
  readonly revision: number;
  readonly spec: unknown;
  /** The part that this system may write on objects of other owners. */
  readonly status: unknown;
}
