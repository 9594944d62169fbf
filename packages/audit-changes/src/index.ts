/** Keeps and lists the audit trail of changes. */
export {};
