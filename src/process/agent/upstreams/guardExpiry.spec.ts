import { expect } from 'chai';
import { Agent, request } from 'undici';
import {
  createRouteServer,
  listenOnLoopback,
  closeServer,
} from '../../../../test/standins/httpServer.js';
import { DeadlineExceededError, guardExpiry } from './guardExpiry.js';

describe('expiry guard', () => {
  it('guards against work that expires while its connection is opened', async () => {
    let served = 0;
    const server = createRouteServer({
      'POST /run': () => {
        served += 1;
        return { ok: true };
      },
    });
    const port = await listenOnLoopback(server, 0);
    const dispatcher = new Agent();
    const url = `http://127.0.0.1:${port}/run`;
    try {
      const late = request(url, {
        method: 'POST',
        body: '{}',
        dispatcher: guardExpiry(dispatcher, () => true),
      });
      const error: unknown = await late.then(
        () => undefined,
        (reason: unknown) => reason,
      );
      expect(error).to.be.instanceOf(DeadlineExceededError);
      expect(served).to.equal(0);
      const unexpiredDispatcher = guardExpiry(dispatcher, () => false);
      const answer = await request(url, {
        method: 'POST',
        body: '{}',
        dispatcher: unexpiredDispatcher,
      });
      expect(await answer.body.json()).to.deep.equal({ ok: true });
      expect(served).to.equal(1);
    } finally {
      await dispatcher.destroy();
      await closeServer(server);
    }
  });
});
