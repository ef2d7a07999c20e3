// Package platform contains clients of the platform's services: the table service
// (DynamoDB JSON protocol), the object store (S3 REST) and the membership list
// (Prometheus HTTP service discovery). It holds connections and circuit breakers. Every
// call has a deadline and returns failures as result codes.
package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"

	policy "cyclamenhitch/core/breaker"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Config configures the clients.
type Config struct {
	TableURL, TableName string
	ObjectsURL, Bucket  string
	AccessKeyID, Secret string
	// SecretKey, unless nil, returns the secret key and overrides Secret. It is called for
	// each request, so that a changed key file takes effect without a restart.
	SecretKey func() []byte
	// CallTimeout is the deadline of each call.
	CallTimeout time.Duration
	// MaxConcurrent limits the concurrent calls to each service, so that it is not
	// overloaded while it recovers.
	MaxConcurrent int
}

// Store is the client of the table service and the object store.
type Store struct {
	cfg     Config
	table   *dynamodb.Client
	objects *s3.Client

	// Each service has its own breaker, since one may fail without the other.
	tableCalls, objectCalls *breaker
}

// NewStore returns a client. It opens no connections.
func NewStore(cfg Config) *Store {
	var creds aws.CredentialsProvider = credentials.NewStaticCredentialsProvider(cfg.AccessKeyID, cfg.Secret, "")
	if cfg.SecretKey != nil {
		creds = aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
			return aws.Credentials{AccessKeyID: cfg.AccessKeyID, SecretAccessKey: string(cfg.SecretKey()), Source: "key file"}, nil
		})
	}
	hc := &http.Client{Transport: newTransport(cfg.MaxConcurrent)}
	return &Store{
		cfg: cfg,
		table: dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(cfg.TableURL), Region: "local", Credentials: creds, HTTPClient: hc,
			Retryer: aws.NopRetryer{},
		}),
		objects: s3.New(s3.Options{
			BaseEndpoint: aws.String(cfg.ObjectsURL), Region: "local", Credentials: creds, HTTPClient: hc,
			Retryer: aws.NopRetryer{}, UsePathStyle: true,
			RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
			ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		}),
		// A table call that takes half of its deadline counts as failed, since a service
		// that slow delays every caller although it answers.
		tableCalls:  newBreaker(cfg.MaxConcurrent, cfg.CallTimeout/2),
		objectCalls: newBreaker(cfg.MaxConcurrent, cfg.CallTimeout),
	}
}

// call runs fn with the call timeout if the breaker admits it.
func (s *Store) call(ctx context.Context, b *breaker, op string, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	probe, err := b.acquire(ctx)
	if err != nil {
		return result.Wrap(result.StoreUnavailable, err, "%s failed (%s)", op, classifyError(err))
	}
	start := time.Now()
	err = fn(ctx)
	var ccf *types.ConditionalCheckFailedException
	condition := errors.As(err, &ccf)
	if err == nil || condition || errors.Is(err, store.ErrNotFound) {
		b.release(probe, time.Since(start), "")
		if condition {
			return store.ErrConditionFailed
		}
		return err
	}
	if cause := ctx.Err(); cause != nil && !errors.Is(err, cause) {
		// The HTTP client may return the error of the connection that it closed at the deadline.
		err = fmt.Errorf("%w: %w", cause, err)
	}
	reason := classifyError(err)
	b.release(probe, time.Since(start), reason)
	return result.Wrap(result.StoreUnavailable, err, "%s failed (%s)", op, reason)
}

// Failures returns the numbers of failed calls to the table service and the object
// store, by reason.
func (s *Store) Failures() (table, objects map[FailureReason]int64) {
	return s.tableCalls.failureCounts(), s.objectCalls.failureCounts()
}

// BreakerStatus is the state of a service's breaker and the number of running calls.
type BreakerStatus struct {
	State   policy.State
	Running int
}

// Breakers returns the breaker status of the table service and the object store.
func (s *Store) Breakers() (table, objects BreakerStatus) {
	return s.tableCalls.status(), s.objectCalls.status()
}

func (b *breaker) status() (s BreakerStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.State, s.Running = b.state.State()
	return s
}

func (b *breaker) failureCounts() map[FailureReason]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.reasons)
}

func primaryKey(partition, sort string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		"pk": &types.AttributeValueMemberS{Value: partition},
		"sk": &types.AttributeValueMemberS{Value: sort},
	}
}

// Get reads one row with strong consistency. It returns store.ErrNotFound or an error
// with code StoreUnavailable.
func (s *Store) Get(ctx context.Context, partition, sort string) (store.Row, error) {
	var row store.Row
	err := s.call(ctx, s.tableCalls, "get "+partition, func(ctx context.Context) error {
		out, err := s.table.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: &s.cfg.TableName, Key: primaryKey(partition, sort), ConsistentRead: aws.Bool(true),
		})
		if err != nil {
			return err
		}
		if out.Item == nil {
			return store.ErrNotFound
		}
		row = decodeRow(out.Item)
		return nil
	})
	return row, err
}

// Put writes the row if the stored version is expect; 0 means that the row must not
// exist. It returns store.ErrConditionFailed or an error with code StoreUnavailable.
// After the latter the write may have taken effect, so the caller reads the row and
// compares Writer.
func (s *Store) Put(ctx context.Context, row store.Row, expect uint64) error {
	in := &dynamodb.PutItemInput{TableName: &s.cfg.TableName, Item: primaryKey(row.Partition, row.Sort)}
	in.Item["ver"] = &types.AttributeValueMemberN{Value: strconv.FormatUint(row.Version, 10)}
	in.Item["writer"] = &types.AttributeValueMemberS{Value: row.Writer}
	in.Item["data"] = &types.AttributeValueMemberB{Value: row.Data}
	if expect == 0 {
		in.ConditionExpression = aws.String("attribute_not_exists(pk)")
	} else {
		in.ConditionExpression = aws.String("ver = :v")
		in.ExpressionAttributeValues = map[string]types.AttributeValue{
			":v": &types.AttributeValueMemberN{Value: strconv.FormatUint(expect, 10)},
		}
	}
	return s.call(ctx, s.tableCalls, "put "+row.Partition, func(ctx context.Context) error {
		_, err := s.table.PutItem(ctx, in)
		return err
	})
}

// Query returns up to limit rows of a partition with Sort at or after from, in order. It
// reads all pages, of at most 1 MB each, so fewer rows than limit mean that the partition
// has no more.
func (s *Store) Query(ctx context.Context, partition, from string, limit int) ([]store.Row, error) {
	var rows []store.Row
	var next map[string]types.AttributeValue
	for {
		err := s.call(ctx, s.tableCalls, "query "+partition, func(ctx context.Context) error {
			out, err := s.table.Query(ctx, &dynamodb.QueryInput{
				TableName: &s.cfg.TableName, ConsistentRead: aws.Bool(true), Limit: aws.Int32(int32(limit - len(rows))),
				KeyConditionExpression: aws.String("pk = :p AND sk >= :s"), ExclusiveStartKey: next,
				ExpressionAttributeValues: map[string]types.AttributeValue{
					":p": &types.AttributeValueMemberS{Value: partition},
					":s": &types.AttributeValueMemberS{Value: from},
				},
			})
			if err != nil {
				return err
			}
			for _, item := range out.Items {
				rows = append(rows, decodeRow(item))
			}
			next = out.LastEvaluatedKey
			return nil
		})
		if err != nil {
			return nil, err
		}
		if len(rows) >= limit || len(next) == 0 {
			return rows, nil
		}
	}
}

// Delete removes a row. A missing row is not an error.
func (s *Store) Delete(ctx context.Context, partition, sort string) error {
	return s.call(ctx, s.tableCalls, "delete "+partition, func(ctx context.Context) error {
		_, err := s.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{TableName: &s.cfg.TableName, Key: primaryKey(partition, sort)})
		return err
	})
}

func decodeRow(item map[string]types.AttributeValue) store.Row {
	var r store.Row
	if v, ok := item["pk"].(*types.AttributeValueMemberS); ok {
		r.Partition = v.Value
	}
	if v, ok := item["sk"].(*types.AttributeValueMemberS); ok {
		r.Sort = v.Value
	}
	if v, ok := item["ver"].(*types.AttributeValueMemberN); ok {
		r.Version, _ = strconv.ParseUint(v.Value, 10, 64)
	}
	if v, ok := item["writer"].(*types.AttributeValueMemberS); ok {
		r.Writer = v.Value
	}
	if v, ok := item["data"].(*types.AttributeValueMemberB); ok {
		r.Data = v.Value
	}
	return r
}

// maxObjectBytes limits the size of an object that is read.
const maxObjectBytes = 64 << 20

// GetObject reads an object. It returns store.ErrNotFound or an error with code
// StoreUnavailable.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := s.call(ctx, s.objectCalls, "get object "+name, func(ctx context.Context) error {
		out, err := s.objects.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.cfg.Bucket, Key: &name})
		var api smithy.APIError
		if errors.As(err, &api) && strings.Contains(api.ErrorCode(), "NoSuchKey") {
			return store.ErrNotFound
		}
		if err != nil {
			return err
		}
		defer out.Body.Close()
		if size := aws.ToInt64(out.ContentLength); size > maxObjectBytes {
			return fmt.Errorf("object has %d bytes, limit %d", size, maxObjectBytes)
		}
		body, err = io.ReadAll(io.LimitReader(out.Body, maxObjectBytes+1))
		if len(body) > maxObjectBytes {
			return fmt.Errorf("object is over %d bytes", maxObjectBytes)
		}
		return err
	})
	return body, err
}

// PutObject writes an object and replaces an existing one of that name.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	return s.call(ctx, s.objectCalls, "put object "+name, func(ctx context.Context) error {
		_, err := s.objects.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &s.cfg.Bucket, Key: &name, Body: bytes.NewReader(body), ContentLength: aws.Int64(int64(len(body))),
		})
		return err
	})
}

// ListObjectsAfter returns up to limit object names that begin with prefix and sort
// after the name after, in order. limit is at most 1000.
func (s *Store) ListObjectsAfter(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	err := s.call(ctx, s.objectCalls, "list objects "+prefix, func(ctx context.Context) error {
		out, err := s.objects.ListObjectsV2(ctx, &s3.ListObjectsV2Input{
			Bucket: &s.cfg.Bucket, Prefix: &prefix, StartAfter: &after, MaxKeys: aws.Int32(int32(limit)),
		})
		if err != nil {
			return err
		}
		for _, o := range out.Contents {
			names = append(names, aws.ToString(o.Key))
		}
		return nil
	})
	return names, err
}

// DeleteObject removes an object. A missing object is not an error.
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	return s.call(ctx, s.objectCalls, "delete object "+name, func(ctx context.Context) error {
		_, err := s.objects.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: &s.cfg.Bucket, Key: &name})
		return err
	})
}

// ListObjects returns all object names that begin with prefix, in order.
func (s *Store) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var names []string
	in := &s3.ListObjectsV2Input{Bucket: &s.cfg.Bucket, Prefix: &prefix}
	for {
		var out *s3.ListObjectsV2Output
		err := s.call(ctx, s.objectCalls, "list objects "+prefix, func(ctx context.Context) (err error) {
			out, err = s.objects.ListObjectsV2(ctx, in)
			return err
		})
		if err != nil {
			return nil, err
		}
		for _, o := range out.Contents {
			names = append(names, aws.ToString(o.Key))
		}
		if !aws.ToBool(out.IsTruncated) {
			return names, nil
		}
		in.ContinuationToken = out.NextContinuationToken
	}
}
