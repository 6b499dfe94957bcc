package org.bronzehill.entry.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import org.bronzehill.core.model.InstanceList;
import org.testng.annotations.Test;

/** Tests the cache of the last parsed instance list. */
public class InstanceListCacheTest {

    private final InstanceListCache cache = new InstanceListCache();

    private static byte[] json(int version, String upstreams) {
        return ("{\"version\":" + version + ",\"instances\":[],\"upstreams\":[" + upstreams + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String engine(String state) {
        return "{\"id\":\"engine-1\",\"kind\":\"engine\",\"uri\":\"http://127.0.0.1:1\",\"state\":\""
                + state
                + "\"}";
    }

    /** Guards against parsing an unchanged list at every read, which happens once per second. */
    @Test
    public void parsesAnUnchangedListOnce() {
        InstanceList first = cache.parse(json(1, engine("live"))).get();
        assertSame(cache.parse(json(1, engine("live"))).get(), first);
    }

    /** Guards against a changed upstream state that is ignored because the version is the same. */
    @Test
    public void parsesAChangedListWithTheSameVersion() {
        cache.parse(json(1, engine("live")));
        InstanceList second = cache.parse(json(1, engine("leaving"))).get();
        assertEquals(second, InstanceListParser.parse(json(1, engine("leaving"))).get());
    }

    /** Guards against a malformed response that replaces or drops the cached list. */
    @Test
    public void keepsTheCachedListAfterAMalformedResponse() {
        InstanceList first = cache.parse(json(1, engine("live"))).get();
        assertTrue(cache.parse("{".getBytes(StandardCharsets.UTF_8)).isLeft());
        assertSame(cache.parse(json(1, engine("live"))).get(), first);
    }
}
