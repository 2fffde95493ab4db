import { expect } from '../../test/support/snapshot.js';
import { Metrics } from './metrics.js';
import { formatMetrics } from './metricsServer.js';

describe('metrics text', () => {
  it('guards against names and units that change', () => {
    const metrics = new Metrics();
    metrics.addCount('outcome_answered', 3);
    metrics.recordLatency('request', 12);
    expect(formatMetrics(metrics)).toMatchSnapshot();
  });
});
