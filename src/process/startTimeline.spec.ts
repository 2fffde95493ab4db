import { expect } from 'chai';
import { createLogger } from './logging.js';
import { Metrics } from './metrics.js';
import { StartTimeline } from './startTimeline.js';

describe('timeline of a start', () => {
  it('guards against a slow start of which an operator does not see where the time went', () => {
    const metrics = new Metrics();
    const timeline = new StartTimeline(metrics, createLogger('test'));
    timeline.observe({ listening: true }, () => ({ wallMs: 250.4, processorMs: 180.2 }));
    timeline.observe({ listening: true, configuration: true, upstreams: false }, () => ({
      wallMs: 300,
      processorMs: 220,
    }));
    expect(timeline.describe()).to.deep.equal({
      listening: { wallMs: 250, processorMs: 180 },
      configuration: { wallMs: 300, processorMs: 220 },
    });
    expect(metrics.getCount('start_configuration_processor_ms')).to.equal(220);
    expect(metrics.getCount('start_upstreams_ms')).to.equal(0);
  });
});
