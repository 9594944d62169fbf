/** Kind of the audit records in the platform. */
export const AUDIT_KIND = 'audit';
