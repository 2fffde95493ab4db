/** Roarr reads this variable once at import time and discards all log lines if it is not set. */
process.env.ROARR_LOG = 'true';
