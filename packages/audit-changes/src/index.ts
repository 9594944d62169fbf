/** Writes and lists the audit records of changes by operators. */
export { hasAuditRecord } from './has-audit-record.js';
export { listAuditRecords } from './list-audit-records.js';
export { writeAuditRecord } from './write-audit-record.js';
