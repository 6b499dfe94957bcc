package org.bronzehill.standin.internal;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** HTTP request that can be answered immediately or later from any thread. */
public final class Exchange {

    private final Channel channel;
    private final String method;
    private final String path;
    private final Map<String, List<String>> query;
    private final HttpHeaders headers;
    private final byte[] body;

    private Exchange(Channel channel, FullHttpRequest request) {
        QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
        this.channel = channel;
        this.method = request.method().name();
        this.path = decoder.path();
        this.query = decoder.parameters();
        this.headers = request.headers().copy();
        this.body = ByteBufUtil.getBytes(request.content());
    }

    static Exchange of(Channel channel, FullHttpRequest request) {
        return new Exchange(channel, request);
    }

    public String method() {
        return method;
    }

    public String path() {
        return path;
    }

    /** Returns whether the request has this method and path. */
    public boolean matches(String wantedMethod, String wantedPath) {
        return method.equals(wantedMethod) && path.equals(wantedPath);
    }

    /** Returns a numeric query parameter, or {@code fallback} if it is absent or not a number. */
    public long query(String name, long fallback) {
        return parseLong(query.getOrDefault(name, List.of("")).get(0), fallback);
    }

    /** Returns a header, or an empty string if it is absent. */
    public String header(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    /** Returns a numeric header, or {@code fallback} if it is absent or not a number. */
    public long header(String name, long fallback) {
        return parseLong(header(name), fallback);
    }

    public byte[] body() {
        return body.clone();
    }

    /** Returns the body as JSON, or a missing node if it is not valid JSON. */
    public JsonNode json() {
        return Json.parse(body);
    }

    /** Returns the body decoded as UTF-8. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    Channel channel() {
        return channel;
    }

    public void respond(int status, Object json) {
        respond(status, "application/json", Json.bytes(json));
    }

    /** Answers with an error code in the format of the OpenAI API. */
    public void error(int status, String code) {
        respond(status, Map.of("error", Map.of("code", code, "message", code)));
    }

    public void respond(int status, String contentType, byte[] content) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
        channel.writeAndFlush(response);
    }

    /** Starts a chunked response of server-sent events. */
    public void startEvents() {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(response);
    }

    /** Sends one server-sent event. */
    public void event(String data) {
        channel.writeAndFlush(
                new DefaultHttpContent(
                        Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8)));
    }

    /** Ends a chunked response. */
    public void endEvents() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Closes the connection without completing the response. */
    public void abort() {
        channel.close();
    }

    /** Runs {@code action} when the connection closes. */
    public void onClosed(Runnable action) {
        channel.closeFuture().addListener(f -> action.run());
    }

    private static long parseLong(String text, long fallback) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
