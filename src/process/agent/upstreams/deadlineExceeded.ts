/** The deadline passed before the request was sent. */
export class DeadlineExceededError extends Error {
  constructor() {
    super('deadline passed before the request was sent');
  }
}
