/** Kind of the platform objects that hold audit records. */
export const AUDIT_KIND = 'audit';
